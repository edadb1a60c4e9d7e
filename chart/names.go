package chart

// The states of a replica.
const (
	Loading  = "loading"  // its members are ordered and load weights
	Serving  = "serving"  // its members were all ready; its gate may serve
	Draining = "draining" // nothing new; what runs is finished
	Broken   = "broken"   // a member is missing or lost its order
	Gone     = "gone"     // given up; it leaves the fabric domain's value
)

// The events of a replica.
const (
	Ready  = "ready"  // all members report the order and are ready
	Lose   = "lose"   // a member is missing or differs from its order
	Drain  = "drain"  // it shall take nothing new
	Return = "return" // all members are as they were, and it is wanted
	Mend   = "mend"   // its members get a new order
	Drop   = "drop"   // its members are set free
)

// The states of an instance, as its keeper sees it.
const (
	Unseen    = "unseen"    // listed, never answered
	Live      = "live"      // answers
	Suspect   = "suspect"   // missed a probe
	Silent    = "silent"    // missed too many
	Returning = "returning" // answers again, not for long
	Slow      = "slow"      // answers late: a straggler
	Out       = "out"       // taken out of service, or leaving
)

// The events of an instance.
const (
	Answer  = "answer"  // a probe was answered
	Miss    = "miss"    // a probe was not answered
	Lapse   = "lapse"   // too many probes in a row were not answered
	Settle  = "settle"  // it has answered for long enough
	Lag     = "lag"     // too many probes in a row were answered late
	Recover = "recover" // its answers are in time again
	Leave   = "leave"   // operators or the platform take it out
	Admit   = "admit"   // it is back in service
)

// names are what the code knows of each chart; a file that says otherwise is
// refused.
var names = map[string][]string{
	"replica": {
		Loading, Serving, Draining, Broken, Gone,
		Ready, Lose, Drain, Return, Mend, Drop,
	},
	"instance": {
		Unseen, Live, Suspect, Silent, Returning, Slow, Out,
		Answer, Miss, Lapse, Settle, Lag, Recover, Leave, Admit,
	},
}
