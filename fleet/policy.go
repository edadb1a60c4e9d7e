package fleet

import "time"

// Policy holds the thresholds of placement.
type Policy struct {
	MissLimit        int           // consecutive missed probes after which an instance is silent
	LateAfter        time.Duration // an answer that takes longer is late
	LateLimit        int           // consecutive late answers after which an instance is slow
	Settle           time.Duration // a returning instance that answers for this long is live
	SilentGrace      time.Duration // a silent member is replaced after this time
	UnreachableShare float64       // fraction of silent instances from which a fabric domain is unreachable
	UnreachableGrace time.Duration // a fabric domain that is unreachable for this long has no capacity
	MinDrain         time.Duration // shortest drain, since load reports lag
	LoadTimeout      time.Duration // a load that takes longer has failed
	KeepIncomplete   bool          // replicas that lack members are kept when instances are short
	UnreachableMin   int           // a fabric domain with fewer instances is never unreachable
	RankPeriod       time.Duration // the ranking of pending loads changes after this time
	UnlistedAfter    time.Duration // an instance missing from the list for this long is gone
}

// Default returns the policy in use. TestPolicies shows the cost of other
// values.
func Default() Policy {
	return Policy{
		MissLimit:        3,
		LateAfter:        500 * time.Millisecond,
		LateLimit:        5,
		Settle:           2 * time.Second,
		SilentGrace:      0,
		UnreachableShare: 0.8,
		UnreachableGrace: 6 * time.Second,
		MinDrain:         3 * time.Second,
		LoadTimeout:      15 * time.Minute,
		UnreachableMin:   4,
		RankPeriod:       20 * time.Second,
		UnlistedAfter:    30 * time.Second,
	}
}
