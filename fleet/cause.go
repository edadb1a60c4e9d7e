package fleet

import (
	"fmt"
	"time"
)

// Why is the kind of reason for a decision. The names are written to metrics.
type Why int

// The kinds of reasons.
const (
	None      Why = iota // no reason
	Ready                // all members are ready
	Silent               // a member does not answer
	Vanished             // a member is not in the platform's list any more
	Restarted            // a member has another boot number
	Strayed              // a member holds another order
	Unready              // a member no longer has its model loaded
	Overdue              // the load took too long
	Slow                 // a member is a straggler
	Withdrawn            // operators or the platform take an instance out of service
	Changed              // the group's configuration changed
	Surplus              // the replicas exceed the share of this fabric domain
	Short                // too few instances for all wanted replicas
	Removed              // the group was removed
	Wanted               // the group lacks a replica here
	Renewed              // the members can be given a new order
	Drained              // the drain of the replica is complete
	Gateless             // the gate is lost
	Capacity             // the number of fit instances changed
	Surpassed            // an endpoint holds a higher fencing token
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Why -output=why_string.go

// Cause is one decision with its reason.
type Cause struct {
	Action  string // such as "place", "mend", "rename"
	Subject string // replica or fabric domain
	Group   string // group of the replica, empty for a fabric domain
	Why     Why
	Reason  string    // readable text that names the instances or daemons concerned
	Since   time.Time // when the reason arose; zero for the time of the decision
}

// String returns the action, its subject and the reason.
func (c Cause) String() string {
	return fmt.Sprintf("%s %s: %s", c.Action, c.Subject, c.Reason)
}

// reason is a kind of reason with its text. The zero value is no reason.
type reason struct {
	kind  Why
	text  string
	since time.Time // when the reason arose; zero for now
}

func newReason(kind Why, format string, arguments ...any) reason {
	return reason{kind: kind, text: fmt.Sprintf(format, arguments...)}
}

// isSet reports whether there is a reason.
func (r reason) isSet() bool { return r.kind != None }
