package gate

import "time"

// Times on which the guarantees of the package depend.
const (
	// ProbeEvery is the time between probes of a member.
	ProbeEvery = 600 * time.Millisecond
	// ProbeRetry is the time between probes after a failed probe, and while the
	// gate gives no permits.
	ProbeRetry = 200 * time.Millisecond
	// ProbeTimeout ends a probe that is not answered. The next probe follows at
	// once, so that one lost probe does not make a member count as silent.
	ProbeTimeout = 250 * time.Millisecond
	// ProbeValidity is the time for which the answer to a probe is valid, from
	// the sending of the probe.
	ProbeValidity = time.Second
	// PermitValidity is the time from the granting of a permit to the last
	// moment at which its request may be dispatched.
	PermitValidity = 500 * time.Millisecond
	// ReportLag is the greatest age of the load in an endpoint's report.
	ReportLag = time.Second
	// ClaimWait is the time for which a gate waits after all members reported
	// its fencing token. By then the probes of the previous gate are no longer
	// valid, its permits have expired, and the requests dispatched with them
	// appear in the reports.
	ClaimWait = ProbeValidity + PermitValidity + ReportLag
)

const (
	pauseLimit           = time.Second               // a longer time between updates of the view means that the process was paused
	resumeWait           = 2 * time.Second           // time after a pause in which the peers can send a newer view
	coldTime             = ReportLag + ProbeValidity // time after an endpoint turned cold in which its reports may include earlier requests
	reconcileWindow      = 10 * time.Second          // time in which every report must show fewer requests than permits before the count is lowered
	permitAgeMargin      = 5 * time.Second           // added to the longest request for the maximum age of a permit
	minRetryAfter        = 50 * time.Millisecond     // least RetryAfter of a refusal
	maxRetryAfter        = 30 * time.Second          // greatest RetryAfter of a refusal
	notServingRetryAfter = time.Second               // RetryAfter for a replica that doesn't serve
)
