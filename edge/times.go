package edge

import "time"

// stopTimes are the times of a shutdown, from its signal. For a grace period of 8 s they
// are given in the comments.
type stopTimes struct {
	refuse time.Duration // requests are taken until then: 2.5 s
	listen time.Duration // connections are accepted until then: 3.3 s
	answer time.Duration // a request without an answer gets one of ours: 7.1 s
	cut    time.Duration // streams are cut off: 7.3 s
	idle   time.Duration // how long a connection waits for a request before it is closed: 1 s
	settle time.Duration // for what was cut off to end: 0.1 s
	record time.Duration // for the removal of the daemon's record: 0.5 s
}

// Upper limits of stopTimes.
const (
	maxTaking    = 2500 * time.Millisecond // callers don't count on the end of requests that they send 3 s after the signal, which may come late
	maxLingering = 800 * time.Millisecond  // after that, refusals reach callers that connect meanwhile; then other addresses are sooner tried
	maxMargin    = 700 * time.Millisecond  // between the cut and SIGKILL
	maxNotice    = 200 * time.Millisecond  // for answers of ours to reach callers
	maxIdle      = time.Second
	maxSettle    = 100 * time.Millisecond
	maxRemoval   = 500 * time.Millisecond
)

// newStopTimes returns the times for a grace period. A third of it is for taking
// requests, and the last eighth at most is lost to them.
func newStopTimes(grace time.Duration) stopTimes {
	t := stopTimes{
		refuse: min(maxTaking, grace*31/100),
		cut:    grace - min(maxMargin, grace/8),
		idle:   min(maxIdle, grace/8),
		settle: min(maxSettle, grace/80),
		record: min(maxRemoval, grace/16),
	}
	t.listen = t.refuse + min(maxLingering, grace/10)
	t.answer = t.cut - min(maxNotice, grace/40)
	return t
}
