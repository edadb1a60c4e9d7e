package fakes

import "time"

// Breach is a rule that was broken towards an engine.
type Breach int

// The breaches that an engine notices.
const (
	Overload   Breach = iota // more in progress than a cold engine bears
	Incomplete               // work for a replica with a member missing
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Breach -output=breach_string.go

// Violation is one case of a breach.
type Violation struct {
	Breach  Breach    `json:"breach"`
	Request string    `json:"request"`
	Note    string    `json:"note"`
	At      time.Time `json:"at"` // when the request arrived
}

// Violations returns what was broken towards the engine, over all boots.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

func (e *Engine) violate(v Violation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, v)
}
