package groups

import (
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// outcome is the result of an order.
type outcome int

const (
	pending  outcome = iota // no answer yet
	accepted                // the endpoint accepted it, whether it has finished it or not
	refused                 // any error but platform.Lost; counts as not executed
	lost                    // no answer: it may be executed, now or later
)

// orderRecord holds what the planner knows of the orders to one endpoint.
type orderRecord struct {
	started       int64          // as site.State.Started
	sequence      int64          // orders accepted since the endpoint's start
	sequenceKnown bool           // sequence is right, unless an order that counted as lost was executed later
	outside       bool           // in no group, by its own report or answer
	lastOrder     platform.Order // most recent order
	sentAt        time.Duration  // boot clock: when lastOrder was issued, 0 for none
	outcome       outcome        // of lastOrder
	memberAsked   bool           // when lastOrder was issued, a state newer than the order before it showed the endpoint in lastOrder.Group
	anyLost       bool           // an order counted as lost, and may be executed yet
}

// RecordOutcome records the result of an order to an endpoint: err is the error of
// the call, and done reports that the order was not only started: it was executed at
// once, or there was nothing to do. The result of any order but the most recent one
// is ignored.
func (p *Planner) RecordOutcome(id string, order platform.Order, done bool, err error) {
	r := p.records[id]
	if r == nil || r.outcome != pending || r.lastOrder.Verb != order.Verb || r.lastOrder.Sequence != order.Sequence {
		return
	}
	switch {
	case err == nil:
		r.outcome = accepted
		// An endpoint that has begun to leave its group counts as outside. If the
		// leave is done already, there may have been nothing to do and the endpoint
		// may be in another group, so nothing changes, unless it was known to be in the
		// group that it left. After a join it is not outside. Other orders change
		// nothing. A join that is done at once found the endpoint in the group already
		// and was not counted, so the sequence stays known.
		left := order.Verb == platform.Leave && (!done || r.memberAsked)
		r.outside = left || r.outside && order.Verb != platform.Join
		switch {
		case !done || left:
			r.sequence = order.Sequence + 1
		case order.Verb != platform.Join:
			r.sequenceKnown = false // executed at once, or nothing to do: the endpoint may have counted it or not, and its next report has the count
		}
	case platform.Is(err, platform.Lost):
		r.outcome = lost
		r.sequenceKnown = false
		r.anyLost = true
	default:
		r.outcome = refused
		r.sequenceKnown = false
	}
}

// Sending tells that an order is about to be sent, and reports whether it still is to be:
// it must be the latest one to its endpoint, and an order to join must be of a group that
// still forms. One that is not counts as refused.
func (p *Planner) Sending(id string, order platform.Order, now time.Duration) bool {
	r := p.records[id]
	if r == nil || r.outcome != pending || r.lastOrder.Verb != order.Verb || r.lastOrder.Group != order.Group || r.lastOrder.Sequence != order.Sequence {
		return false
	}
	if g := p.groups[order.Group]; order.Verb == platform.Join && (g == nil || g.stage != forming) {
		r.outcome = refused
		return false
	}
	r.sentAt = now
	return true
}

// updateRecords updates the order records from a snapshot.
func (p *Planner) updateRecords(snap Snapshot) {
	for id := range p.records {
		if _, listed := snap.Endpoints[id]; !listed {
			delete(p.records, id)
			delete(p.lastModel, id)
		}
	}
	for id, e := range snap.Endpoints {
		r := p.records[id]
		if r == nil || r.started != e.State.Started {
			unused := neverOrdered(e.State)
			if r != nil {
				delete(p.lastModel, id)
			}
			r = &orderRecord{started: e.State.Started, sequenceKnown: unused, outside: unused}
			p.records[id] = r
		}
		if e.ReportAt <= r.sentAt || e.ReportAt == 0 {
			continue
		}
		r.outside = e.Report.Member.Phase == site.Outside
		if !r.sequenceKnown {
			r.sequence = e.Report.Sequence
			r.sequenceKnown = true
		}
	}
}

// neverOrdered reports whether an engine's state is empty: it is in no group, has no
// model loaded or staged, and is executing no order. It is then taken to have had no
// order since its start.
func neverOrdered(s site.State) bool {
	return len(s.Models) == 0 && len(s.Staged) == 0 && s.Member.Phase == site.Outside && !s.Busy
}

// mayBeOutdated reports whether an endpoint's state may be from before its last
// order.
func (p *Planner) mayBeOutdated(e EndpointState) bool {
	r := p.records[e.ID]
	return r.sentAt > 0 && e.StateAt <= r.sentAt+stateLag
}

// issue returns an order to an endpoint, or nil if none may be issued now. Its
// fencing token is the term. It carries the endpoint's count of accepted orders, so
// that of two orders issued with the same count the endpoint accepts only one.
func (p *Planner) issue(e EndpointState, order platform.Order, snap Snapshot) []Order {
	r := p.records[e.ID]
	if !r.mayIssue(e, order, snap.Now) || order.Verb == platform.Join && !r.outside {
		return nil
	}
	order.Token = p.term
	order.Sequence = r.sequence
	r.memberAsked = !r.anyLost && e.StateAt > r.sentAt && e.State.Member.In(order.Group, order.Epoch)
	r.lastOrder = order
	r.sentAt = snap.Now
	r.outcome = pending
	return []Order{{To: e.Endpoint, Order: order}}
}

// mayIssue reports whether another order may be issued. The count of accepted
// orders must be known and no order pending. The same order is repeated only after its
// effect has had time to show: after settleWait and with a state newer than the order
// if it was accepted, and after retryWait if it was refused or lost.
func (r *orderRecord) mayIssue(e EndpointState, next platform.Order, now time.Duration) bool {
	if !r.sequenceKnown || r.sentAt > 0 && r.outcome == pending {
		return false
	}
	same := r.sentAt > 0 && r.lastOrder.Verb == next.Verb && r.lastOrder.Group == next.Group && r.lastOrder.Model == next.Model
	if !same {
		return true
	}
	if r.outcome == accepted {
		return now-r.sentAt > settleWait && e.StateAt > r.sentAt
	}
	return now-r.sentAt > retryWait
}
