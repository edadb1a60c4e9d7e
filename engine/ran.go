package engine

import "errors"

// Ran states whether an endpoint ran a request.
type Ran int

// The values of Ran. Error responses and reports contain their names in lower
// case.
const (
	No      Ran = iota // no part of it can have run
	Unknown            // the request may have run
	Yes                // the request ran, at least in part
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Ran -output=ran_string.go

// RanOf returns whether the request ran, given the error of its call. It
// returns Yes for a nil error and Unknown for an error that does not come from
// this package.
func RanOf(err error) Ran {
	if err == nil {
		return Yes
	}
	var fault *Error
	if !errors.As(err, &fault) {
		return Unknown
	}
	switch fault.Kind {
	case Unsent, Refused, Stale, Invalid:
		return No
	default:
		return Unknown
	}
}
