package pick

import (
	"math"
	"time"

	"clementinehead.example/chead/site"
)

// Slot is a slot at an endpoint, which a request holds until Done.
type Slot struct {
	Endpoint     site.Endpoint
	Load         int           // requests in progress there when it was chosen
	ReadTime     time.Duration // expected time to read the prompt when it was chosen
	placer       *Placer
	state        *endpointState
	queue        *queue
	lastProgress time.Time
	acquired     time.Time
	streaming    bool // whether an event has arrived
	unread       int  // tokens of its prompt; 0 once an event has arrived
	done         bool
}

// timeWeight is the weight of the newest request in the mean times of a queue.
const timeWeight = 0.05

// Progress records that an answer or, if streamed is set, an event of a stream has
// arrived from the endpoint.
func (p *Slot) Progress(streamed bool) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	now := time.Now()
	gap := time.Duration(0)
	if streamed && p.streaming {
		gap = now.Sub(p.lastProgress)
	}
	if streamed && !p.streaming {
		p.streaming = true
		p.state.streams++
		p.state.unread -= p.unread
		p.unread = 0
		p.queue.firstEventSeconds += timeWeight * (now.Sub(p.lastProgress).Seconds() - p.queue.firstEventSeconds)
	}
	p.lastProgress = now
	p.state.event(now, gap)
}

// Stalled reports whether the endpoint makes no progress with any request.
func (p *Slot) Stalled() bool {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	return p.state.stalled(time.Now())
}

// Patience returns how long a request may receive nothing from an endpoint that
// makes progress with others before it is sent to another one: several times the
// mean time to the first event. While requests wait and arrive about as fast as
// slots are freed it is unlimited, because a retry would only add to the load.
func (p *Slot) Patience() time.Duration {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	now := time.Now()
	if len(p.queue.waiting) > 0 && saturated(p.queue.arrivals.rate(now), p.queue.freed.rate(now)) {
		return math.MaxInt64
	}
	return max(minPatience, time.Duration(patienceFactor*p.queue.firstEventSeconds*float64(time.Second)))
}

const (
	minPatience    = time.Second
	patienceFactor = 4 // multiple of the mean time to the first event
)

// Suspect skips the endpoint for suspectPause. It is for an endpoint that could not
// be reached or that answered that a request is misdirected.
func (p *Slot) Suspect() {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.state.suspectedUntil = time.Now().Add(suspectPause)
}

// Done releases the slot. Calls after the first have no effect.
func (p *Slot) Done(failed bool) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if p.done {
		return
	}
	now := time.Now()
	p.state.end(now, failed)
	if !failed {
		p.queue.holdSeconds += timeWeight * (now.Sub(p.acquired).Seconds() - p.queue.holdSeconds)
	}
	if !failed {
		p.queue.freed.add(now)
	}
	p.finish(now)
}

// release returns a slot that was granted to a request that no longer needs it. It
// counts neither a result nor a freed slot.
func (d *Placer) release(p *Slot, now time.Time) {
	p.state.running--
	p.finish(now)
}

// finish ends the request's part in the counts and dispatches its queue.
func (p *Slot) finish(now time.Time) {
	if p.streaming {
		p.state.streams--
	}
	p.state.unread -= p.unread
	p.done = true
	p.queue.active--
	p.placer.dispatchQueue(p.queue, now)
}
