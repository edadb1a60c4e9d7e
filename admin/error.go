package admin

import (
	"fmt"
	"net/http"
)

// Kind is the reason why a request was refused.
type Kind int

// The kinds of Error.
const (
	Unauthorized Kind = iota // the key is missing or wrong
	Malformed                // the request cannot be decoded
	Missing                  // the requested item does not exist
	Unavailable              // the store or the document is not available; an edit is not in force
	Unsettled                // the response of the store was lost: the edit may be in force
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a refused request.
type Error struct {
	Op   string // the operation, such as "put"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("admin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// status returns the HTTP status for a kind.
func (k Kind) status() int {
	switch k {
	case Unauthorized:
		return http.StatusUnauthorized
	case Malformed:
		return http.StatusBadRequest
	case Missing:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}
