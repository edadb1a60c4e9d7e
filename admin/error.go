package admin

import (
	"fmt"
	"net/http"
)

// Kind says why a request was refused.
type Kind int

// The kinds of Error.
const (
	Unauthorized Kind = iota // no key, or a wrong one
	Malformed                // the request can't be read
	Missing                  // there is no such thing
	Unavailable              // the store did not take the edit: not done
	Unsettled                // the store's answer was lost: the edit may be done
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a refused request.
type Error struct {
	Op   string // the operation, such as "put"
	Kind Kind
	Err  error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("admin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// status is the HTTP status of a kind.
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
