package fleet

import "time"

// Policy holds the thresholds of placement.
type Policy struct {
	Misses    int           // probes missed in a row that make an instance silent
	Late      time.Duration // an answer that takes longer is late
	Lags      int           // late answers in a row that make an instance slow
	Settle    time.Duration // answering that long, an instance is live again
	Patience  time.Duration // a silent member is waited for that long before it is replaced
	Dark      float64       // share of silent instances from which a fabric domain counts as dark
	Blackout  time.Duration // a fabric domain dark for that long counts as no capacity
	Quiet     time.Duration // shortest drain, for load reports that lag
	Load      time.Duration // longest load
	Keep      bool          // half-built replicas are kept when instances are short
	Fewest    int           // instances below which a fabric domain is never dark
	Rotation  time.Duration // how long a ranking of loads holds
	Unlearned time.Duration // an instance missing from the list for that long is gone
}

// Default is the policy in use.
func Default() Policy {
	return Policy{
		Misses:    3,
		Late:      500 * time.Millisecond,
		Lags:      5,
		Settle:    2 * time.Second,
		Patience:  0,
		Dark:      0.8,
		Blackout:  6 * time.Second,
		Quiet:     3 * time.Second,
		Load:      15 * time.Minute,
		Fewest:    4,
		Rotation:  20 * time.Second,
		Unlearned: 30 * time.Second,
	}
}
