package fakes

import "time"

// Breach is a rule of the engine contract that a caller broke.
type Breach int

// The breaches that an engine detects.
const (
	Overload   Breach = iota // more requests in progress than an engine that isn't warm yet can take; the limit grows with completed requests
	Incomplete               // a request for a replica with a missing member
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Breach -output=breach_string.go

// Violation records one breach.
type Violation struct {
	Breach  Breach    `json:"breach"`
	Request string    `json:"request"`
	Note    string    `json:"note"`
	At      time.Time `json:"at"` // when the request arrived
}

// Violations returns the breaches recorded by the engine, over all boots.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

func (e *Engine) recordViolation(v Violation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, v)
}
