package gate

// Bar is what keeps a gate from giving permits.
type Bar int

// The bars, in the order in which they are checked.
const (
	Open       Bar = iota // nothing does
	Unnamed               // another daemon is the gate
	NotServing            // the replica's state is another one
	TakenOut              // operators took a member or its failure domain out
	Waking                // this process was paused, and its view may be old
	Silent                // a member has not answered a probe lately
	OtherFence            // a member has another fencing number
	OtherBoot             // a member started again
	NotReady              // a member has not loaded its model
	PriorGate             // a permit of the gate before may still be dispatched
	Unreported            // the load that the gate before left is not known yet
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Bar -output=bar_string.go
