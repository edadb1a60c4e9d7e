package gate

// Bar is the reason for which a gate gives no permits: its block reason.
type Bar int

// The reasons, in the order in which they are checked.
const (
	Open       Bar = iota // permits are given
	Unnamed               // another daemon is the gate
	NotServing            // the replica is not in the state Serving
	TakenOut              // operators took a member or its failure domain out of service
	Waking                // this process was paused, and its view may be out of date
	Silent                // a member has not answered a recent probe
	OtherFence            // a member has another fencing token
	OtherBoot             // a member restarted
	NotReady              // a member has not loaded its model
	PriorGate             // a permit of the previous gate may still be dispatched, or the load that it left is not known yet
	Unreported            // the load left by the previous gate is not known yet; not in use, PriorGate is returned instead
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Bar -output=bar_string.go
