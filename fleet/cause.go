package fleet

import (
	"fmt"
	"time"
)

// Why is the kind of reason for a decision.
type Why int

// The kinds of reasons.
const (
	None      Why = iota // no reason
	Ready                // all members are ready
	Silent               // a member does not answer
	Vanished             // a member is listed no more
	Restarted            // a member has another boot number
	Strayed              // a member holds another order
	Unready              // a member lost its model
	Overdue              // the load took too long
	Slow                 // a member is a straggler
	Withdrawn            // operators or the platform take an instance out
	Changed              // the group's configuration changed
	Surplus              // another fabric domain holds it
	Short                // too few instances for all that is wanted
	Removed              // the group was removed
	Wanted               // the group lacks a replica
	Renewed              // the members can be ordered anew
	Drained              // what ran is finished
	Gateless             // the gate's daemon is lost
	Capacity             // the number of fit instances changed
	Surpassed            // an endpoint holds a higher fencing number
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Why -output=why_string.go

// Cause is one decision and why it was taken.
type Cause struct {
	Action  string // such as "place", "mend", "rename"
	Subject string // replica or fabric domain
	Group   string // group of the replica, empty for a fabric domain
	Why     Why
	Reason  string    // in words, with the names concerned
	From    time.Time // since when it holds, zero for the decision's time
}

// String names the action, its subject and the reason.
func (c Cause) String() string {
	return fmt.Sprintf("%s %s: %s", c.Action, c.Subject, c.Reason)
}

// reason is a kind of reason and its words. The zero value is no reason.
type reason struct {
	why  Why
	text string
	from time.Time // since when it holds, zero for now
}

func because(why Why, format string, arguments ...any) reason {
	return reason{why: why, text: fmt.Sprintf(format, arguments...)}
}

// given reports whether there is a reason.
func (r reason) given() bool { return r.why != None }
