package pick

import (
	"math"
	"time"

	"clementinehead.example/chead/site"
)

// Slot is the right to have one request in progress at an endpoint, until Done.
type Slot struct {
	Endpoint     site.Endpoint // or, if Peer is set, the daemon that the request is sent through
	Peer         bool
	Load         int           // requests in progress there when it was chosen
	ReadTime     time.Duration // expected time to read the prompt when it was chosen
	placer       *Placer
	state        *endpointState
	queue        *queue
	lastProgress time.Time // latest call of Progress, or acquired before the first
	acquired     time.Time
	streaming    bool // whether an event has arrived
	tokens       int  // reserved in the endpoint's memory
	unread       int  // tokens of its prompt; 0 once an event has arrived
	held         bool // its stream isn't read, since the caller is slow
	done         bool
	retry        time.Time // when Successor counted it in the budget
}

// timeWeight is the weight of the newest request in the mean times of a queue.
const timeWeight = 0.05

// Progress records that an answer or, if streamed is set, an event of a stream has
// arrived from the endpoint.
func (s *Slot) Progress(streamed bool) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := time.Now()
	gap := time.Duration(0)
	if streamed && s.streaming {
		gap = now.Sub(s.lastProgress)
	}
	if streamed && !s.streaming {
		s.streaming = true
		s.state.streams++
		s.state.unread -= s.unread
		s.unread = 0
		s.queue.firstEventSeconds += timeWeight * (now.Sub(s.lastProgress).Seconds() - s.queue.firstEventSeconds)
	}
	s.lastProgress = now
	s.placer.progressed = now
	s.state.answered(s, now)
	s.learnGap(gap)
	s.state.event(now, gap)
}

// Hold records that the stream isn't read from now on, or is read again, so that its silence
// isn't the endpoint's.
func (s *Slot) Hold(on bool) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	switch {
	case s.held == on || s.done:
		return
	case on:
		s.state.held++
	default:
		s.state.held--
		s.lastProgress = time.Now()
		s.state.lastProgress = s.lastProgress
	}
	s.held = on
}

// Stalled reports whether the endpoint makes no progress with any request.
func (s *Slot) Stalled() bool {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	return s.state.stalled(time.Now())
}

// Silence returns the number of endpoints that make no progress with requests of this daemon,
// and whether none made any lately. An endpoint that just got its first request isn't silent
// yet, so that in a large fleet there is always one that isn't.
func (p *Placer) Silence() (silent int, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range p.endpoints {
		if s.noProgress(now) {
			silent++
		}
	}
	return silent, now.Sub(p.progressed) > firstEventTimeout
}

// Patience returns how long a request may receive nothing from an endpoint that
// makes progress with others before it is sent to another one: several times the
// mean time to the first event, and longer than is usual at the endpoint. While
// requests wait and arrive about as fast as slots are freed it is unlimited, because a
// retry would only add to the load.
func (s *Slot) Patience() time.Duration {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := time.Now()
	if s.queue.hasIdle() && saturated(s.queue.arrivals.rate(now), s.queue.freed.rate(now)) {
		return math.MaxInt64
	}
	late := s.placer.lateSince(s.lastProgress) // what came meanwhile is not read yet
	patience := late + max(minPatience, time.Duration(patienceFactor*s.queue.firstEventSeconds*float64(time.Second)))
	if s.streaming && (s.state.gaps.known || s.queue.gaps.known) {
		return max(patience, late+s.state.gaps.limit(), late+s.queue.gaps.limit())
	}
	patience = max(patience, late+s.state.firsts.limit(), late+s.queue.firsts.limit())
	if s.streaming {
		return patience
	}
	return patience + s.ReadTime
}

// Usual returns the mean interval between events at the other endpoints of the request's
// model, 0 if none is known, and the mean time to the first event.
func (s *Slot) Usual() (interval, first time.Duration) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	sum, n := 0.0, 0
	for _, other := range s.placer.endpoints {
		if l := &other.learned; l.queue == s.queue && other != s.state && l.own[gaps].Samples >= peerSamples && s.placer.options.Boot()-l.newest <= maxLearnedAge {
			sum += l.own[gaps].Mean().Seconds()
			n++
		}
	}
	return seconds(sum / float64(max(1, n))), seconds(s.queue.firstEventSeconds)
}

// UsualSilence returns the time without progress beyond which the endpoint counts as
// stalled.
func (s *Slot) UsualSilence() time.Duration {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	return s.state.usualSilence()
}

const (
	minPatience    = time.Second // least value of Patience
	patienceFactor = 4           // multiple of the mean time to the first event
)

// Late returns the longest time for which this process ran late since the slot was acquired.
func (s *Slot) Late() time.Duration {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	return s.placer.lateSince(s.acquired)
}

// Suspect skips the endpoint for suspectPause. It is for an endpoint that could not
// be reached or that answered that a request is misdirected.
func (s *Slot) Suspect() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.state.suspectedUntil = time.Now().Add(suspectPause)
}

// Done releases the slot. The argument failed counts the request as a failure of the
// endpoint. Calls after the first have no effect.
func (s *Slot) Done(failed bool) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	if s.done {
		return
	}
	now := time.Now()
	if failed {
		s.learnMiss(now)
	}
	s.state.end(now, failed)
	if !failed {
		s.countFreed(now)
	}
	s.finish(now)
}

// Left releases the slot of a request whose caller left, which says nothing of the
// endpoint.
func (s *Slot) Left() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	if s.done {
		return
	}
	now := time.Now()
	s.state.running--
	s.countFreed(now)
	s.finish(now)
}

// countFreed records the end of a request in the figures of its queue.
func (s *Slot) countFreed(now time.Time) {
	s.queue.holdSeconds += timeWeight * (now.Sub(s.acquired).Seconds() - s.queue.holdSeconds)
	s.queue.freed.add(now)
}

// release returns a slot that was granted to a request that no longer needs it. It
// counts neither a result nor a freed slot.
func (p *Placer) release(s *Slot, now time.Time) {
	s.state.unsend(s.acquired)
	s.finish(now)
}

// finish ends the request's part in the counts and dispatches its queue.
func (s *Slot) finish(now time.Time) {
	if s.held {
		s.state.held--
	}
	if s.streaming {
		s.state.streams--
	}
	s.state.unread -= s.unread
	s.state.tokens -= s.tokens
	s.state.drop(s)
	s.done = true
	s.queue.active--
	s.placer.dispatchQueue(s.queue, now)
}
