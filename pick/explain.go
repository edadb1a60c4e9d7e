package pick

import "time"

// Option is an endpoint as a request that arrives now would find it.
type Option struct {
	Endpoint string        `json:"endpoint"`
	Domain   string        `json:"domain"`
	Load     int           `json:"load"`     // requests of all daemons there, as reported
	Expected float64       `json:"expected"` // those that are expected there now
	Slots    int           `json:"slots"`
	Read     time.Duration `json:"read"`             // to read the prompts that wait there and that of the request
	Slow     float64       `json:"slow"`             // interval between events as a multiple of the expected one
	Cost     time.Duration `json:"cost"`             // expected time to the first event, increased if requests fail there
	Share    float64       `json:"share"`            // probability that the request is sent there
	Reason   string        `json:"reason,omitempty"` // why it is not available, empty if it is
}

// Explanation is what would be done with a request that arrives now.
type Explanation struct {
	Options  []Option      `json:"options"`
	Sent     float64       `json:"sent"`              // requests that other daemons are expected to have sent since their reports
	Delay    time.Duration `json:"delay"`             // mean time until the load of another daemon is known
	Queue    QueueState    `json:"queue"`             // as the request would find it
	Served   bool          `json:"served"`            // it would get a slot at once
	Refusal  string        `json:"refusal,omitempty"` // why it is sent to no endpoint whatever their load, empty if it may be
	Decision Decision      `json:"decision"`          // if it gets no slot at once
}

// explainDraws is the number of choices from which the shares are counted.
const explainDraws = 500

// Explain tells where a request would go now, and why, and whether it would wait otherwise.
// It gives no slot and sends nothing.
func (p *Placer) Explain(request Request) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	q, known := p.queues[request.key()]
	if !known {
		q = &queue{service: request.Service}
	}
	w := p.weigh(request, q, now)
	found := Explanation{Queue: q.state(request, now), Sent: p.sentSince(q, w.delay), Delay: w.delay, Refusal: p.refusal(request)}
	eligible := p.eligible(request)
	p.addLimits(&found.Queue, eligible, q, now)
	p.addCompetition(&found.Queue, request, q)
	candidates := p.candidates(eligible, w)
	for i, c := range candidates {
		e := eligible[i]
		found.Options = append(found.Options, Option{
			Endpoint: e.ID, Domain: e.Domain, Load: c.Load, Expected: c.Expected, Slots: c.Slots, Read: c.ReadTime,
			Slow: c.Slowdown, Cost: c.costAt(c.Expected), Reason: c.reason(),
		})
	}
	for range explainDraws {
		if i := ChooseStale(candidates, found.Sent, p.options.Random); i >= 0 {
			found.Options[i].Share += 1.0 / explainDraws
			found.Served = found.Refusal == "" && (!q.hasInTime(now) || request.Resumed)
		}
	}
	found.Decision = Admit(found.Queue)
	return found
}

// refusal returns why a request is sent to no endpoint from here, or an empty text.
func (p *Placer) refusal(request Request) string {
	switch {
	case p.tooLarge(request):
		return TooLarge.String()
	case p.cutOffFor(request):
		return CutOff.String()
	}
	return ""
}

// reason returns why a candidate is not available, or an empty text.
func (c Candidate) reason() string {
	switch {
	case c.Stalled:
		return "stalled or suspected"
	case c.Paused:
		return "asked for no requests"
	case c.RateLimited:
		return "rate limit used up"
	case c.NoMemory:
		return "memory too small"
	case c.endpoint().Room <= 0:
		return "no slot"
	}
	return ""
}
