package press

// Kind says what an Error is about.
type Kind int

// The values of Kind.
const (
	Malformed Kind = iota // the bytes are no gzip, or end too soon
	TooLarge              // more bytes than the limit
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error // cause
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "press: " + e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
