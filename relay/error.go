package relay

import "fmt"

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	Store      Kind = iota // the key-value service did not answer
	Peer                   // no ready peer answered
	Unreadable             // this version cannot read a document
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failure to obtain or read documents.
type Error struct {
	Op   string // the operation, such as "list"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
