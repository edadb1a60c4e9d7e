package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// Input is what a step decides from.
type Input struct {
	Self     string // daemon that decides
	Fabric   Fabric // the value as it stands
	Others   map[string]Fabric
	Seen     map[string]Seen // the fabric domain's instances, by id
	Document conf.Document
	Daemons  []Daemon
	Policy   Policy
	Now      time.Time
}

// Daemon is a daemon that may be the gate of a replica.
type Daemon struct {
	ID     string
	Domain string // failure domain
	Region string
	Alive  bool // neither dead, nor leaving, nor suspected of it
	Lost   bool // dead or leaving
}

// Result is what a step decides. The orders of the new value are worked out by
// Orders, once the value is written.
type Result struct {
	Fabric Fabric
	Causes []Cause // empty: the value stays as it is
	Share  Share   // of all fabric domains
	Dark   bool    // almost all instances are silent
}

// Step decides the next value of a fabric domain. It is pure: equal inputs
// give equal results. Nothing is moved while almost all instances are silent,
// since then the keeper may be the one that is cut off.
func Step(in Input) Result {
	p := newPlan(in)
	p.surpass()
	p.judge()
	p.count()
	p.share = Apportion(in.Document, p.fabrics())
	p.slots = in.Policy.Slots(in.Document, p.fabrics(), p.share, in.Fabric.Name, in.Now)
	if !p.dark {
		p.drain()
		p.mend()
		p.build()
	}
	p.name()
	return p.result()
}

// plan is the state of one step's work.
type plan struct {
	in      Input
	next    Fabric
	causes  []Cause
	share   Share
	slots   map[string]int
	dark    bool
	counted bool // the number of fit instances changes in this step
}

func newPlan(in Input) *plan {
	p := &plan{in: in, next: in.Fabric}
	p.next.Replicas = slices.Clone(in.Fabric.Replicas)
	for i, replica := range p.next.Replicas {
		p.next.Replicas[i].Members = slices.Clone(replica.Members)
	}
	p.dark = p.isDark()
	return p
}

func (p *plan) result() Result {
	p.next.Replicas = slices.DeleteFunc(p.next.Replicas, func(r Replica) bool {
		return r.State == chart.Gone
	})
	if len(p.causes) == 0 {
		return Result{Fabric: p.in.Fabric, Share: p.share, Dark: p.dark}
	}
	reasons := make([]string, 0, len(p.causes))
	for _, cause := range p.causes {
		reasons = append(reasons, cause.String())
	}
	p.next.Keeper = p.in.Self
	p.next.Cause = strings.Join(reasons, "; ")
	p.next.At = p.in.Now
	return Result{Fabric: p.next, Causes: p.causes, Share: p.share, Dark: p.dark}
}

// fabrics returns all fabric domains' values, the own one as planned so far.
func (p *plan) fabrics() map[string]Fabric {
	all := maps.Clone(p.in.Others)
	if all == nil {
		all = map[string]Fabric{}
	}
	all[p.next.Name] = p.next
	return all
}

// isDark reports whether almost all instances are silent.
func (p *plan) isDark() bool {
	silent := 0
	for _, seen := range p.in.Seen {
		silent += truth(seen.State == chart.Silent)
	}
	known := len(p.in.Seen)
	return known >= p.in.Policy.Fewest && float64(silent) >= p.in.Policy.Dark*float64(known)
}

// take applies an event to a replica and notes why. It is false where the
// replica's state doesn't take the event.
func (p *plan) take(r *Replica, event, action string, why reason) bool {
	next, ok := chart.Replica().Next(r.State, event)
	if !ok {
		return false
	}
	r.State = next
	r.Since = p.in.Now
	p.note(action, r.ID, r.Group, why)
	return true
}

func (p *plan) note(action, subject, group string, why reason) {
	p.causes = append(p.causes, Cause{action, subject, group, why.why, why.text, why.from})
}

// fence returns a fencing number that was never given out.
func (p *plan) fence() uint64 {
	p.next.Fence++
	return p.next.Fence
}

// surpass lifts the fencing number above those that endpoints hold. The value
// is written only if it is the newest, so no number of a newer value is passed.
func (p *plan) surpass() {
	highest := p.next.Fence
	for _, seen := range p.in.Seen {
		highest = max(highest, seen.Report.Fence)
	}
	if highest > p.next.Fence {
		p.next.Fence = highest
		p.note("surpass", p.next.Name, "", because(Surpassed, "an endpoint holds a higher fencing number"))
	}
}

// count notes how many instances may be members. The number does not fall
// while some were not probed yet.
func (p *plan) count() {
	fit, unseen := 0, 0
	for _, seen := range p.in.Seen {
		fit += truth(p.fits(seen))
		unseen += truth(seen.State == chart.Unseen)
	}
	if fit == p.next.Fit || (fit < p.next.Fit && unseen > 0) {
		return
	}
	p.note("count", p.next.Name, "", because(Capacity, "%d instances fit, %d before", fit, p.next.Fit))
	p.next.Fit = fit
	p.counted = true
}

// fits reports whether an instance counts as capacity. A silent one does while
// it is waited for.
func (p *plan) fits(seen Seen) bool {
	switch seen.State {
	case chart.Out, chart.Unseen:
		return false
	case chart.Silent:
		return p.in.Now.Sub(seen.Since) < p.wait()
	case chart.Slow:
		return p.owner(seen.Instance.ID) != nil
	default:
		return true
	}
}

// wait is how long a silent instance is waited for.
func (p *plan) wait() time.Duration {
	if p.dark {
		return p.in.Policy.Blackout
	}
	return p.in.Policy.Patience
}

// owner returns the replica that an instance stands in, or nil.
func (p *plan) owner(instance string) *Replica {
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		if r.State == chart.Gone {
			continue
		}
		if slices.ContainsFunc(r.Members, func(m Member) bool { return m.Instance == instance }) {
			return r
		}
	}
	return nil
}

// spares returns the instances that could join a replica now, sorted.
func (p *plan) spares() []Seen {
	var spares []Seen
	for _, id := range slices.Sorted(maps.Keys(p.in.Seen)) {
		seen := p.in.Seen[id]
		if seen.State == chart.Live && p.owner(id) == nil {
			spares = append(spares, seen)
		}
	}
	return spares
}
