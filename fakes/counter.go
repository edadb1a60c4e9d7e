package fakes

import (
	"net/http"
	"sync"
)

// RunCounter counts how often each key was run. It is an http.Handler for the key
// in the query's "key": POST adds a run, and all methods answer with the count.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

// Add adds one run of each key.
func (c *RunCounter) Add(keys ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range keys {
		c.runs[key]++
	}
}

// Count returns how often a key was run.
func (c *RunCounter) Count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// Runs is the answer of a RunCounter.
type Runs struct {
	Runs int `json:"runs"`
}

// ServeHTTP answers with the count of a key, after adding one for a POST.
func (c *RunCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if r.Method == http.MethodPost {
		c.Add(key)
	}
	writeJSON(w, Runs{Runs: c.Count(key)})
}
