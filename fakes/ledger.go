package fakes

import (
	"net/http"
	"sync"
)

// Ledger counts how often each key was run. As an http.Handler it adds one by
// POST and answers with the count by GET, of the key in the query's "key".
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Add counts one run of each key.
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

// Runs is a ledger's answer.
type Runs struct {
	Runs int `json:"runs"`
}

// ServeHTTP adds or answers.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if r.Method == http.MethodPost {
		l.Add(key)
	}
	writeJSON(w, Runs{Runs: l.Count(key)})
}
