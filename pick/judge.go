package pick

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/learn"
	"clementinehead.example/chead/site"
)

const (
	maxTold      = 32              // endpoints of which a daemon passes its samples on
	peerSamples  = 4               // from which an endpoint counts among those that others are compared with
	learnedStep  = 0.25            // change of a limit that is logged, as a part of the slots
	learnedPause = 2 * time.Second // least time between two log lines on one endpoint
)

// judgement is what is known of an endpoint beside the others of its model or service.
type judgement struct {
	*learned
	id       string
	load     int
	slots    int                     // configured
	evidence [signals]learn.Evidence // from all daemons' requests
}

// updateLearned judges the endpoints of each queue beside each other, moves their limits,
// and chooses those of which this daemon's samples are passed on: those that deviate by
// these or by the samples of others.
func (p *Placer) updateLearned() {
	if p.options.Snapshot().Config == nil {
		return
	}
	now := p.options.Boot()
	var telling []*judgement
	for key, q := range p.queues {
		for _, j := range p.judgements(key, q, now) {
			p.moveLimit(j, now)
			j.tells = false
			if j.deviates() {
				telling = append(telling, j)
			}
		}
	}
	slices.SortFunc(telling, func(a, b *judgement) int {
		return cmp.Or(cmp.Compare(b.excess(), a.excess()), strings.Compare(a.id, b.id))
	})
	for _, j := range telling[:min(maxTold, len(telling))] {
		j.tells = true
	}
}

// deviates reports whether this daemon's samples show a deviation, or confirm one that
// others have passed on.
func (j *judgement) deviates() bool {
	heard := j.others.Known() && j.others.Started == j.started
	for k, e := range j.evidence {
		if heard && e.Confirms() {
			return true
		}
		if e.Sums = j.own[k]; e.Tells() {
			return true
		}
	}
	return false
}

// excess returns the greater excess of the signals.
func (j *judgement) excess() float64 {
	return max(j.evidence[gaps].Excess(), j.evidence[firsts].Excess())
}

// judgements returns what is known of the endpoints that serve the requests of a queue.
func (p *Placer) judgements(key string, q *queue, now time.Duration) []*judgement {
	name, model, _ := strings.Cut(key, "/")
	service, known := p.service(name)
	if !known {
		return nil
	}
	expected := [signals]learn.Line{gaps: slowestLine(service, model)}
	need := p.needs(name)
	var all []*judgement
	var ratios [signals][]float64
	for _, e := range p.serving(name, model) {
		j := p.judgement(e, q, configuredSlots(service, e), now)
		if j == nil {
			continue
		}
		all = append(all, j)
		for k, sums := range j.together() {
			j.evidence[k] = learn.Evidence{Sums: sums, Expected: expected[k], Need: need[k], Slots: j.slots, Limited: j.limiter.Limited()}
			if sums.Samples >= peerSamples {
				ratios[k] = append(ratios[k], sums.Ratio(expected[k]))
			}
		}
	}
	for k := range ratios {
		slices.Sort(ratios[k])
		for _, j := range all {
			e := &j.evidence[k]
			e.Peer = medianOfOthers(ratios[k], e.Sums.Ratio(e.Expected), e.Sums.Samples >= peerSamples)
		}
	}
	return all
}

// judgement returns what is known of an endpoint in its present life and with the model of
// a queue, or nil if nothing is or if requests of another queue are in progress there.
func (p *Placer) judgement(e site.Endpoint, q *queue, slots int, now time.Duration) *judgement {
	s := p.endpoint(e.ID)
	l := &s.learned
	if l.empty() {
		return nil
	}
	if e.State.Started < l.started || e.State.Started == l.started && l.queue != q && s.running > 0 {
		return nil
	}
	l.restart(e.State.Started, q, now)
	l.fade(now)
	return &judgement{learned: l, id: e.ID, load: s.running + s.othersRunning, slots: slots}
}

// slowestLine returns the interval between events that the configuration lets expect of a
// group at most: its members may be in several fabric domains.
func slowestLine(service site.Service, model string) learn.Line {
	if service.Engine == nil {
		return learn.Line{}
	}
	m, known := service.Engine.Model(model)
	if !known {
		return learn.Line{}
	}
	line := gapLine(*service.Engine, m)
	if m.Size > 1 {
		return line.Times(max(1, service.Engine.Across))
	}
	return line
}

// medianOfOthers returns the upper median of sorted values, without one of a given value if
// it is among them; 0 if there are none.
func medianOfOthers(values []float64, own float64, among bool) float64 {
	others := len(values)
	if among {
		others--
	}
	if others == 0 {
		return 0
	}
	i := others / 2
	if at, _ := slices.BinarySearch(values, own); among && at <= i {
		i++
	}
	return values[i]
}

// moveLimit moves the limit of an endpoint towards what it takes well by its signals, and
// logs a clear change.
func (p *Placer) moveLimit(j *judgement, now time.Duration) {
	goal := j.slots
	for _, e := range j.evidence {
		goal = min(goal, learn.Judge(e))
	}
	limit := j.limiter.Step(now, j.slots, goal, j.load)
	if limit == j.slots {
		limit = 0
	}
	clearly := (limit == 0) != (j.logged == 0) || max(limit-j.logged, j.logged-limit) >= max(1, int(learnedStep*float64(j.slots)))
	if !clearly || j.spoke > 0 && now-j.spoke < learnedPause {
		return
	}
	p.options.Log.Info("endpoint takes", "endpoint", j.id, "limit", limit, "before", j.logged, "goal", goal, "slots", j.slots, "load", j.load,
		"gap_ms", j.evidence[gaps].Mean().Milliseconds(), "expected_ms", j.evidence[gaps].Usual().Milliseconds(), "samples", int(j.evidence[gaps].Sums.Samples),
		"first_ms", j.evidence[firsts].Mean().Milliseconds(), "usual_ms", j.evidence[firsts].Usual().Milliseconds(), "firsts", int(j.evidence[firsts].Sums.Samples),
		"age_ms", j.age(now).Milliseconds(), "peer", j.peer)
	j.logged, j.spoke = limit, now
}

// age returns the age of the newest sample.
func (j *judgement) age(now time.Duration) time.Duration {
	own := now - j.newest
	if !j.others.Known() || j.others.Started != j.started {
		return own
	}
	return min(own, time.Duration(j.others.Age)*time.Millisecond)
}
