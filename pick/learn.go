package pick

import (
	"slices"
	"time"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/learn"
	"clementinehead.example/chead/site"
)

// The daemons work out how many requests an endpoint takes well from what they see there
// together (package learn). Each passes on its sums only of endpoints that deviate, so that
// nothing is passed on where all behave as configured.

// maxLearnedAge is the age of the newest sample of other daemons from which they say nothing.
const maxLearnedAge = 5 * time.Second

// signal is a kind of time that an endpoint shows.
type signal int

const (
	gaps    signal = iota // between events of a stream
	firsts                // to the first event or the answer, beyond that for reading the prompt
	signals               // number of signals
)

// samples are the samples of each signal.
type samples [signals]learn.Sums

// learned is what is known of how many requests an endpoint takes.
type learned struct {
	started int64          // as site.State.Started; of another life nothing is known
	queue   *queue         // whose requests showed it; of another model nothing is known
	own     samples        // of this daemon's requests
	newest  time.Duration  // boot clock: time of the newest own sample
	faded   time.Duration  // boot clock: until when the weights of own have faded
	others  gossip.Learned // of the other daemons' requests
	peer    string         // daemon that passed it on
	limiter learn.Limiter
	tells   bool          // whether own is passed on
	logged  int           // limit in the latest log line, 0 for none
	spoke   time.Duration // boot clock: time of that line
}

// slots returns how many requests of a queue an endpoint takes: those configured, or fewer.
func (l *learned) slots(e site.Endpoint, q *queue, configured int) int {
	if l.started != e.State.Started || l.queue != q {
		return configured
	}
	return l.limiter.Slots(configured)
}

// restart forgets what is known of another life of the endpoint, or of another model.
func (l *learned) restart(started int64, q *queue, now time.Duration) {
	if l.started != started || l.queue != q {
		*l = learned{started: started, queue: q, others: l.others, peer: l.peer, faded: now}
	}
}

// empty reports whether nothing is known.
func (l *learned) empty() bool {
	return l.own == samples{} && !l.others.Known() && !l.limiter.Limited()
}

// hear adds what another daemon passed on.
func (l *learned) hear(told gossip.Learned, peer string) {
	old := time.Duration(told.Age)*time.Millisecond > maxLearnedAge
	if !told.Known() || old || told.Age < 0 || !told.Gaps.Sound() || !told.Firsts.Sound() {
		return
	}
	l.others = l.others.Plus(told)
	l.peer = peer
}

// fade lets this daemon's samples weigh less as time passes.
func (l *learned) fade(now time.Duration) {
	for k := range l.own {
		l.own[k] = l.own[k].Faded(now - l.faded)
	}
	l.faded = now
}

// together returns the sums over the samples of all daemons.
func (l *learned) together() samples {
	all := l.own
	if l.others.Known() && l.others.Started == l.started {
		all[gaps] = all[gaps].Plus(l.others.Gaps)
		all[firsts] = all[firsts].Plus(l.others.Firsts)
	}
	return all
}

// learns returns what a slot's request adds samples to, and the load at its endpoint; nil
// if the endpoint has started again since.
func (s *Slot) learns() (*learned, int) {
	l := &s.state.learned
	if s.Peer || s.Endpoint.State.Started < l.started {
		return nil, 0
	}
	now := s.placer.options.Boot()
	l.restart(s.Endpoint.State.Started, s.queue, now)
	l.newest = now
	return l, max(1, s.state.running+s.state.othersRunning)
}

// learnGap adds an interval between two events of a stream; 0 means that there is none.
func (s *Slot) learnGap(gap time.Duration) {
	if gap <= 0 {
		return
	}
	if l, load := s.learns(); l != nil {
		l.own[gaps].Add(load, gap, seconds(s.queue.gaps.mean))
	}
}

// learnFirst adds the time to the first event or the answer, beyond that for reading.
func (s *Slot) learnFirst(first time.Duration) {
	if l, load := s.learns(); l != nil {
		l.own[firsts].Add(load, first, seconds(s.queue.firsts.mean))
	}
}

// learnMiss adds a rejection or a failure. It says nothing of how much the endpoint takes
// if this was the only request there, or if the endpoint holds more than its slots, is cold,
// asked for few requests or none, or can't be reached.
func (s *Slot) learnMiss(now time.Time) {
	p, state := s.placer, s.state
	if state.limit.inForce() || state.wasCold || now.Before(state.pausedUntil) || now.Before(state.suspectedUntil) || !p.options.Reached() {
		return
	}
	service, known := p.service(s.Endpoint.Service)
	l, load := s.learns()
	if !known || l == nil || load <= 1 || load > configuredSlots(service, s.Endpoint) {
		return
	}
	need := p.needs(service.Name)[firsts]
	if need == 0 {
		need = seconds(s.queue.firsts.mean)
	}
	l.own[firsts].AddMiss(load, need)
}

// configuredSlots returns the requests that an endpoint of a service runs at once.
func configuredSlots(service site.Service, e site.Endpoint) int {
	if service.Engine != nil {
		return service.Engine.Slots
	}
	return max(1, e.Slots)
}

// gapLine returns the interval between events that the configuration lets expect.
func gapLine(e site.Engine, model site.Model) learn.Line {
	return learn.Line{Base: e.Step, Each: e.PerSeq}.Times(float64(e.Stride) * model.Pace)
}

// needs returns the shortest times between events, and to the first event or the answer,
// that routes to a service state; 0 if none does.
func (p *Placer) needs(service string) (need [signals]time.Duration) {
	for _, r := range p.options.Snapshot().Config.Routes {
		if !slices.ContainsFunc(r.Shares, func(s site.Share) bool { return s.Service == service }) {
			continue
		}
		for k, v := range [signals]time.Duration{r.TargetGap, r.TargetLatency} {
			if v > 0 && (need[k] == 0 || v < need[k]) {
				need[k] = v
			}
		}
	}
	return need
}

// reportLearned returns what this daemon's requests show of an endpoint, for the others.
func (p *Placer) reportLearned(s *endpointState) gossip.Learned {
	l := &s.learned
	told := gossip.Learned{
		Started: l.started, Age: int((p.options.Boot() - l.newest).Milliseconds()) + 1,
		Gaps: l.own[gaps].Rounded(), Firsts: l.own[firsts].Rounded(),
	}
	if !l.tells || told.Gaps == (learn.Sums{}) && told.Firsts == (learn.Sums{}) {
		return gossip.Learned{}
	}
	return told
}

// Learned returns the number of listed endpoints whose learned limit is below their slots,
// and the part of the slots of all that the limits leave; 1 if there are none.
func (p *Placer) Learned() (limited int, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, left := 0, 0
	for _, e := range p.options.Snapshot().Endpoints {
		service, known := p.service(e.Service)
		if !known {
			continue
		}
		slots, taken := configuredSlots(service, e), 0
		if s, known := p.endpoints[e.ID]; known {
			taken = slots - s.learned.slots(e, s.learned.queue, slots)
		}
		if taken > 0 {
			limited++
		}
		all += slots
		left += slots - taken
	}
	return limited, float64(max(1, left)) / float64(max(1, all))
}
