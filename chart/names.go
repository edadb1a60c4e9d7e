package chart

// The states of a replica.
const (
	Loading  = "loading"  // its members have been sent orders and load weights
	Serving  = "serving"  // all its members were ready; its gate may send requests to it
	Draining = "draining" // takes no new requests; running requests are finished
	Broken   = "broken"   // a member is missing or doesn't hold its order
	Gone     = "gone"     // released; it is removed from the value of the fabric domain in the key-value service
)

// The events of a replica.
const (
	Ready  = "ready"  // all members report their order and are ready
	Lose   = "lose"   // a member is missing or differs from its order
	Drain  = "drain"  // it must take no new requests
	Return = "return" // all members hold their orders again, and the replica is wanted
	Mend   = "mend"   // its members are sent new orders
	Drop   = "drop"   // its members are released
)

// The states of an instance, as its keeper observes it.
const (
	Unseen    = "unseen"    // has not answered a probe since it was added or admitted
	Live      = "live"      // answers probes in time
	Suspect   = "suspect"   // missed at least one probe
	Silent    = "silent"    // missed too many probes in a row
	Returning = "returning" // answers again after being silent, but not long enough to count as live
	Slow      = "slow"      // answers late (a straggler)
	Out       = "out"       // taken out of service by operators, or marked as leaving in the platform's list of instances
)

// The events of an instance.
const (
	Answer  = "answer"  // a probe was answered
	Miss    = "miss"    // a probe was not answered
	Lapse   = "lapse"   // too many probes in a row were not answered
	Settle  = "settle"  // it has answered again for long enough
	Lag     = "lag"     // too many probes in a row were answered late
	Recover = "recover" // it answers in time again
	Leave   = "leave"   // operators or the platform take it out of service
	Admit   = "admit"   // it is back in service
)

// names lists the states and events that the code knows, by chart. Check
// rejects a chart whose names differ from these.
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
