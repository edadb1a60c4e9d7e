package pick

import (
	"math"
	"time"

	"clementinehead.example/chead/site"
)

// Place is a request's place at an endpoint, until Done.
type Place struct {
	Endpoint site.Endpoint
	Load     int           // requests in progress there, as it was chosen
	Read     time.Duration // until it should have read this prompt, the same
	desk     *Desk
	head     *head
	line     *line
	last     time.Time
	taken    time.Time
	streams  bool // an event came
	unread   int  // tokens of its prompt, 0 once an event came
	done     bool
}

// firstWeight is that of the newest time of a request.
const firstWeight = 0.05

// Progress notes that something came from the endpoint, an event of a stream or
// an answer.
func (p *Place) Progress(streamed bool) {
	p.desk.mu.Lock()
	defer p.desk.mu.Unlock()
	now := time.Now()
	gap := time.Duration(0)
	if streamed && p.streams {
		gap = now.Sub(p.last)
	}
	if streamed && !p.streams {
		p.streams = true
		p.head.streams++
		p.head.unread -= p.unread
		p.unread = 0
		p.line.first += firstWeight * (now.Sub(p.last).Seconds() - p.line.first)
	}
	p.last = now
	p.head.event(now, gap)
}

// Stuck reports whether the endpoint makes no progress with anything.
func (p *Place) Stuck() bool {
	p.desk.mu.Lock()
	defer p.desk.mu.Unlock()
	return p.head.stuck(time.Now())
}

// Patience returns how long a request may hear nothing from an endpoint that
// goes on with others before it is made elsewhere: several times the usual time
// to a first event, and for ever while requests arrive faster than places come
// free, when to make one again would only add to the load.
func (p *Place) Patience() time.Duration {
	p.desk.mu.Lock()
	defer p.desk.mu.Unlock()
	now := time.Now()
	if len(p.line.waiting) > 0 && crowded(p.line.arrivals.rate(now), p.line.freed.rate(now)) {
		return math.MaxInt64
	}
	return max(leastPatience, time.Duration(patienceOf*p.line.first*float64(time.Second)))
}

const (
	leastPatience = time.Second
	patienceOf    = 4 // times the usual time to a first event
)

// Suspect passes the endpoint over for a while.
func (p *Place) Suspect() {
	p.desk.mu.Lock()
	defer p.desk.mu.Unlock()
	p.head.suspect = time.Now().Add(stuckPause)
}

// Done gives the place back.
func (p *Place) Done(failed bool) {
	p.desk.mu.Lock()
	defer p.desk.mu.Unlock()
	if p.done {
		return
	}
	now := time.Now()
	p.head.end(now, failed)
	if !failed {
		p.line.held += firstWeight * (now.Sub(p.taken).Seconds() - p.line.held)
	}
	if !failed {
		p.line.freed.add(now)
	}
	p.finish(now)
}

func (d *Desk) release(p *Place, now time.Time) {
	p.head.own--
	p.finish(now)
}

func (p *Place) finish(now time.Time) {
	if p.streams {
		p.head.streams--
	}
	p.head.unread -= p.unread
	p.done = true
	p.line.active--
	p.desk.serve(p.line, now)
}
