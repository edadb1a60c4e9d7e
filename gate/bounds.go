package gate

import "time"

// The times that the proofs of the package rest on.
const (
	// ProbeEvery is the time between probes of a member.
	ProbeEvery = 600 * time.Millisecond
	// ProbeSoon is the same after a probe that failed, and while the gate may
	// not give permits.
	ProbeSoon = 200 * time.Millisecond
	// ProbeTimeout ends a probe that is not answered. The next one follows at
	// once, so that one lost probe does not make a member count as silent.
	ProbeTimeout = 250 * time.Millisecond
	// ProbeFresh is how long the answer to a probe counts, from its sending.
	ProbeFresh = time.Second
	// PermitLife is the time from the giving of a permit to the last moment at
	// which it may be dispatched.
	PermitLife = 500 * time.Millisecond
	// ReportLag is how old the load in an endpoint's report may be.
	ReportLag = time.Second
	// ClaimWait is the time for which a gate waits after all members reported
	// its fencing number: by then the gate before has stopped, its permits
	// have lapsed, and what they started stands in the reports.
	ClaimWait = ProbeFresh + PermitLife + ReportLag
)

const (
	pauseLimit      = time.Second            // between looks at the view, above which the process was paused
	wakeWait        = 2 * time.Second        // after a pause, for the peers to bring a newer view
	coolTime        = ReportLag + ProbeFresh // after an endpoint turned cold, for its reports to show it
	reconcileWindow = 10 * time.Second       // for which reports must show fewer than are held
	lifeMargin      = 5 * time.Second        // beyond the longest request, for a permit's life
	minRetryAfter   = 50 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	idleRetryAfter  = time.Second // for a replica that doesn't serve
)
