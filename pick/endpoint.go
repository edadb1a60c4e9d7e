package pick

import (
	"slices"
	"time"

	"clementinehead.example/chead/learn"
	"clementinehead.example/chead/site"
)

// endpointState is what this daemon knows of one endpoint from its own requests
// and from the reports of the other daemons.
type endpointState struct {
	id                   string
	late                 func(since time.Time) time.Duration // longest time for which this process ran late since
	running              int                                 // requests of this daemon in progress
	streams              int                                 // of these, streams that have sent an event
	held                 int                                 // of these, streams that aren't read since their callers are slow
	lastProgress         time.Time                           // time of the latest response or event, or of the first slot acquired while none was in use that is read
	failureRate          float64                             // share of requests that failed, smoothed
	lastFailure          time.Time
	reportedStalledUntil time.Time // skipped until then, because another daemon reported it as stalled
	suspectedUntil       time.Time // skipped until then, because Suspect was called
	pausedUntil          time.Time // skipped until then, because the endpoint asked for it
	lastBegin            time.Time // when a request of this daemon last acquired a slot
	wasCold              bool      // whether it was cold at the latest check
	coldNotBefore        time.Time // while it is cold, this daemon sends it no request before this time
	othersRunning        int       // requests of the other daemons in progress
	paces                          // as this daemon's requests show them
	queue                *queue    // that of the latest request
	unanswered           []*Slot   // of this daemon's requests that have had no event and no answer, by age
	unread               int       // prompt tokens of this daemon's requests whose responses have had no event yet
	othersUnread         int       // the same of the other daemons
	tokens               int       // reserved in its memory by this daemon's requests
	othersTokens         int       // the same of the other daemons
	limit                limit
	learned              learned
	bucket               bucket      // of this daemon's share of the limit
	sends                []time.Time // by this daemon within limitWindow
	othersSent           int         // the same of the other daemons
}

const (
	failureWeight     = 0.15                    // weight of the newest result in failureRate
	failureMemory     = 3 * time.Second         // time after the last failure from which failureRate is ignored
	stallTimeout      = 450 * time.Millisecond  // least time without progress from which an endpoint is stalled, if a stream there has sent an event
	firstEventTimeout = 700 * time.Millisecond  // the same if no stream there has sent an event
	suspectPause      = 1500 * time.Millisecond // time for which Suspect skips an endpoint
	gapTolerance      = 1.6                     // factor up to which an interval between events counts as expected
)

// noProgress reports whether requests of this daemon are in progress and read, and none makes
// progress. What came while this process ran late is not read yet, so that time doesn't
// count.
func (s *endpointState) noProgress(now time.Time) bool {
	usual := s.usualSilence()
	silent := now.Sub(s.lastProgress)
	return s.running > s.held && silent > usual && silent-s.late(s.lastProgress) > usual
}

// stalled reports whether the endpoint is stalled as this daemon observes it, or by a
// report of another one that this daemon's own streams don't refute.
func (s *endpointState) stalled(now time.Time) bool {
	return s.locallyStalled(now) || s.reportedStalled(now) && !s.progressing(now)
}

// reportedStalled reports whether another daemon has reported the endpoint as
// stalled within the last stallTimeout.
func (s *endpointState) reportedStalled(now time.Time) bool {
	return now.Before(s.reportedStalledUntil)
}

// locallyStalled reports whether the endpoint is stalled or suspected as this
// daemon observes it. This is what it reports to the others.
func (s *endpointState) locallyStalled(now time.Time) bool {
	return s.noProgress(now) || now.Before(s.suspectedUntil)
}

// begin records that a request has acquired a slot.
func (s *endpointState) begin(now time.Time) {
	if s.running == s.held {
		s.lastProgress = now
	}
	s.running++
	s.lastBegin = now
	s.sends = append(trim(s.sends, now.Add(-limitWindow)), now)
	s.bucket.tokens--
}

// unsend takes back that a request acquired a slot at the given time, as it was not sent.
func (s *endpointState) unsend(acquired time.Time) {
	s.running--
	if i := slices.IndexFunc(s.sends, acquired.Equal); i >= 0 {
		s.sends = slices.Delete(s.sends, i, i+1)
		s.bucket.tokens++
	}
}

// event records progress, and the interval since the previous event of the same
// stream; 0 means that there is none.
func (s *endpointState) event(now time.Time, gap time.Duration) {
	s.lastProgress = now
	if gap <= 0 {
		return
	}
	s.gaps.add(gap)
	s.queue.gaps.add(gap)
}

// end records the result of a request.
func (s *endpointState) end(now time.Time, failed bool) {
	s.running--
	newest := 0.0
	if failed {
		newest = 1
		s.lastFailure = now
	} else {
		s.lastProgress = now
	}
	s.failureRate += failureWeight * (newest - s.failureRate)
}

// recentFailureRate returns the share of failed requests, or 0 if none has failed
// within failureMemory, so that the endpoint is tried again.
func (s *endpointState) recentFailureRate(now time.Time) float64 {
	if now.Sub(s.lastFailure) > failureMemory {
		return 0
	}
	return s.failureRate
}

// slowdown returns the interval between events as a multiple of the interval that
// is expected at the loads at which it was seen; at least 1.
func (s *endpointState) slowdown(e site.Engine, model site.Model) float64 {
	expected := gapLine(e, model)
	if expected == (learn.Line{}) {
		return 1
	}
	return max(1, s.learned.own[gaps].Ratio(expected)/gapTolerance)
}

// readTime returns the time to read the waiting prompts and one more of prompt tokens.
func (s *endpointState) readTime(e site.Engine, model site.Model, prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	tokens := float64(s.unread + s.othersUnread + prompt)
	return time.Duration(tokens / e.ReadRate * model.Pace * float64(time.Second))
}

// rateLimited reports whether this daemon has used up its share of the rate of a
// cold endpoint, which is one request per interval. Each daemon begins at a random
// time within the first interval, since all learn at the same time that an endpoint
// has returned. The function random returns random numbers in [0, 1).
func (s *endpointState) rateLimited(now time.Time, cold bool, interval time.Duration, random func() float64) bool {
	if cold && !s.wasCold {
		s.coldNotBefore = now.Add(time.Duration(random() * float64(interval)))
	}
	s.wasCold = cold
	return cold && (now.Before(s.coldNotBefore) || now.Before(s.lastBegin.Add(interval)))
}
