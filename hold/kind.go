package hold

// Kind is what bytes are held for. The line comments are the names in logs.
type Kind int

// The kinds.
const (
	Ahead   Kind = iota // events read ahead
	Request             // request
	Answer              // answer
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Reason is why a reader gives way, in the order in which they are chosen. The line
// comments are the names in logs and metrics.
type Reason int

// The reasons.
const (
	None    Reason = iota // none
	Left                  // caller left
	Expired               // deadline passed
	Late                  // too slow for its deadline
	Least                 // least progress
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Reason -linecomment -output=reason_string.go

// Limits are the bounds in bytes.
type Limits struct {
	Total int64 // of the process
	Each  int64 // of the events read ahead of one request
}

// eachDivisor is how many readers with all that one may hold it takes to fill the total.
const eachDivisor = 8

// NewLimits returns the limits for a total in bytes.
func NewLimits(total int64) Limits { return Limits{Total: total, Each: total / eachDivisor} }

// of returns the bound of the total for one kind. Those that may wait or be refused leave
// room for answers, which come from work that is done.
func (l Limits) of(k Kind) int64 {
	switch k {
	case Ahead:
		return l.Total / 4 * 3
	case Request:
		return l.Total / 8 * 7
	}
	return l.Total
}
