package engine

import "errors"

// Ran is what is known of whether a request was run.
type Ran int

// The values of Ran. Their names in lower case stand in refusals and reports.
const (
	No      Ran = iota // no part of it can have run
	Unknown            // it may have run
	Yes                // it ran, at least in part
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Ran -output=ran_string.go

// RanBy returns what an error of this package says about the request. A nil
// error stands for Yes and an error of another origin for Unknown.
func RanBy(err error) Ran {
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
