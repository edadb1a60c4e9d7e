package fakes

import (
	"net/http"
	"sync"
)

// Ledger counts how often each key was run. It is an http.Handler for the key in
// the query's "key": POST adds a run, and all methods answer with the count.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Add adds one run of each key.
func (l *Ledger) Add(keys ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		l.runs[key]++
	}
}

// Count returns how often a key was run.
func (l *Ledger) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Runs is the answer of a Ledger.
type Runs struct {
	Runs int `json:"runs"`
}

// ServeHTTP answers with the count of a key, after adding one for a POST.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if r.Method == http.MethodPost {
		l.Add(key)
	}
	writeJSON(w, Runs{Runs: l.Count(key)})
}
