package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// Input is what Step decides from.
type Input struct {
	Self      string                    // the daemon that decides
	Fabric    Fabric                    // current value
	Others    map[string]Fabric         // values of the other fabric domains, by name
	Instances map[string]InstanceStatus // instances of the fabric domain, by ID
	Document  conf.Document
	Daemons   []Daemon
	Policy    Policy
	Now       time.Time
}

// Daemon is a daemon that may be the gate of a replica.
type Daemon struct {
	ID     string
	Domain string // failure domain
	Region string
	Alive  bool // neither dead, leaving nor suspected
	Lost   bool // dead or leaving
}

// Result is the decision of Step. Orders computes the orders of the new value
// once it is written.
type Result struct {
	Fabric      Fabric
	Causes      []Cause // empty if the value does not change
	Share       Share   // of all fabric domains
	Unreachable bool    // almost all instances are silent
}

// Step computes the next value of a fabric domain. Equal inputs give equal
// results. While almost all instances are silent, nothing is moved, since the
// keeper itself may be cut off.
func Step(in Input) Result {
	p := newPlan(in)
	p.raiseFence()
	p.checkMembers()
	p.countFitInstances()
	p.share = Apportion(in.Document, p.fabrics())
	p.loadSlots = in.Policy.LoadSlots(in.Document, p.fabrics(), p.share, in.Fabric.Name, in.Now)
	if !p.unreachable {
		p.drain()
		p.mend()
		p.placeMissing()
	}
	p.assignGates()
	return p.result()
}

// plan is the working state of one step.
type plan struct {
	in          Input
	next        Fabric
	causes      []Cause
	share       Share
	loadSlots   map[string]int
	unreachable bool
	fitChanged  bool // the number of fit instances changes in this step
}

func newPlan(in Input) *plan {
	p := &plan{in: in, next: in.Fabric}
	p.next.Replicas = slices.Clone(in.Fabric.Replicas)
	for i, replica := range p.next.Replicas {
		p.next.Replicas[i].Members = slices.Clone(replica.Members)
	}
	p.unreachable = p.isUnreachable()
	return p
}

func (p *plan) result() Result {
	p.next.Replicas = slices.DeleteFunc(p.next.Replicas, func(r Replica) bool {
		return r.State == chart.Gone
	})
	if len(p.causes) == 0 {
		return Result{Fabric: p.in.Fabric, Share: p.share, Unreachable: p.unreachable}
	}
	reasons := make([]string, 0, len(p.causes))
	for _, cause := range p.causes {
		reasons = append(reasons, cause.String())
	}
	p.next.Keeper = p.in.Self
	p.next.Cause = strings.Join(reasons, "; ")
	p.next.At = p.in.Now
	return Result{Fabric: p.next, Causes: p.causes, Share: p.share, Unreachable: p.unreachable}
}

// fabrics returns the values of all fabric domains; this one's as planned so
// far.
func (p *plan) fabrics() map[string]Fabric {
	all := maps.Clone(p.in.Others)
	if all == nil {
		all = map[string]Fabric{}
	}
	all[p.next.Name] = p.next
	return all
}

// isUnreachable reports whether almost all instances are silent.
func (p *plan) isUnreachable() bool {
	silent := 0
	for _, status := range p.in.Instances {
		silent += btoi(status.State == chart.Silent)
	}
	known := len(p.in.Instances)
	return known >= p.in.Policy.UnreachableMin && float64(silent) >= p.in.Policy.UnreachableShare*float64(known)
}

// apply applies an event to a replica and records the cause. It returns false
// if the state of the replica does not accept the event.
func (p *plan) apply(r *Replica, event, action string, why reason) bool {
	next, ok := chart.Replica().Next(r.State, event)
	if !ok {
		return false
	}
	r.State = next
	r.Since = p.in.Now
	p.addCause(action, r.ID, r.Group, why)
	return true
}

func (p *plan) addCause(action, subject, group string, why reason) {
	p.causes = append(p.causes, Cause{action, subject, group, why.kind, why.text, why.since})
}

// nextFence issues a new fencing token.
func (p *plan) nextFence() uint64 {
	p.next.Fence++
	return p.next.Fence
}

// raiseFence raises the fencing token to the highest one that an endpoint
// holds. The compare-and-swap fails if a newer value exists, so this never
// overtakes the tokens of a newer value.
func (p *plan) raiseFence() {
	highest := p.next.Fence
	for _, status := range p.in.Instances {
		highest = max(highest, status.Report.Fence)
	}
	if highest > p.next.Fence {
		p.next.Fence = highest
		p.addCause("surpass", p.next.Name, "", newReason(Surpassed, "an endpoint holds a higher fencing number"))
	}
}

// countFitInstances updates the number of fit instances. The number does not decrease
// while some instances have not been probed yet.
func (p *plan) countFitInstances() {
	fit, unseen := 0, 0
	for _, status := range p.in.Instances {
		fit += btoi(p.fits(status))
		unseen += btoi(status.State == chart.Unseen)
	}
	if fit == p.next.FitInstances || (fit < p.next.FitInstances && unseen > 0) {
		return
	}
	p.addCause("count", p.next.Name, "", newReason(Capacity, "%d instances fit, %d before", fit, p.next.FitInstances))
	p.next.FitInstances = fit
	p.fitChanged = true
}

// fits reports whether an instance counts as capacity. A silent one does during
// its grace time, a slow one while it is a member.
func (p *plan) fits(status InstanceStatus) bool {
	switch status.State {
	case chart.Out, chart.Unseen:
		return false
	case chart.Silent:
		return p.in.Now.Sub(status.Since) < p.grace()
	case chart.Slow:
		return p.owner(status.Instance.ID) != nil
	default:
		return true
	}
}

// grace returns how long a silent instance still counts as capacity.
func (p *plan) grace() time.Duration {
	if p.unreachable {
		return p.in.Policy.UnreachableGrace
	}
	return p.in.Policy.SilentGrace
}

// owner returns the replica that an instance is a member of, or nil.
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

// spares returns the live instances in no replica, sorted by ID.
func (p *plan) spares() []InstanceStatus {
	var spares []InstanceStatus
	for _, id := range slices.Sorted(maps.Keys(p.in.Instances)) {
		status := p.in.Instances[id]
		if status.State == chart.Live && p.owner(id) == nil {
			spares = append(spares, status)
		}
	}
	return spares
}
