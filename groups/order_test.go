package groups

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// give carries an order out as the endpoints do, or loses it.
func (l *lab) give(id string, order platform.Order) (bool, error) {
	e := l.engines[id]
	if e == nil || e.dead || e.silent {
		return false, &platform.Error{Op: "order", Kind: platform.Lost, Err: errors.New("no answer")}
	}
	if l.lose != nil {
		if lost, after := l.lose(id); lost {
			if after > 0 {
				l.late = append(l.late, lateOrder{l.now + after, id, order})
			}
			return false, &platform.Error{Op: "order", Kind: platform.Lost, Err: errors.New("no answer")}
		}
	}
	return l.apply(id, order)
}

func refusal(kind platform.Kind) error {
	return &platform.Error{Op: "order", Kind: kind, Err: errors.New("refused")}
}

func (l *lab) apply(id string, order platform.Order) (bool, error) {
	e := l.engines[id]
	if e == nil || e.dead {
		return false, refusal(platform.Lost)
	}
	if order.Token < e.fence {
		return false, refusal(platform.Fenced)
	}
	e.fence = order.Token
	if order.Sequence != e.count {
		l.refused++
		l.trace = append(l.trace, fmt.Sprintf("%v %s %v %s token %d sequence %d refused: is at %d", l.now, id, order.Verb, order.Group, order.Token, order.Sequence, e.count))
		return false, refusal(platform.Conflict)
	}
	before := e.state.Member
	done, err := l.carryOut(e, order)
	l.trace = append(l.trace, fmt.Sprintf("%v %s %v %s token %d sequence %d: done %v, %v; was in %v", l.now, id, order.Verb, order.Group, order.Token, order.Sequence, done, err, before))
	if err == nil && !done {
		e.count++
		e.note(l.now)
	}
	return done, err
}

func (l *lab) carryOut(e *engine, order platform.Order) (bool, error) {
	in := e.state.Member.In(order.Group, order.Epoch)
	switch order.Verb {
	case platform.Join:
		if in {
			return true, nil
		}
		if order.Epoch < e.epoch {
			return false, refusal(platform.Fenced)
		}
		e.epoch = order.Epoch
		l.checkJoin(e, order)
		e.members = order.Members
		e.ready = l.now + l.joinTime(e, order.Model)
		e.last = order.Model
		e.state.Member = site.Member{Group: order.Group, Epoch: order.Epoch, Rank: slices.Index(order.Members, e.id), Phase: site.Joining}
	case platform.Begin:
		if !in || e.state.Member.Phase != site.Ready {
			return in && e.state.Member.Phase == site.Open, refusalUnless(in && e.state.Member.Phase == site.Open)
		}
		e.state.Member.Phase = site.Open
	case platform.Stop, platform.Cut:
		if !in || e.state.Member.Phase != site.Open {
			return true, nil
		}
		e.state.Member.Phase = site.Ready
	case platform.Leave:
		if !in {
			return true, nil
		}
		e.state.Member = site.Member{}
		e.members = nil
		e.count++
		e.note(l.now)
		return true, nil // done at once
	case platform.Stage:
		e.staged = []string{order.Model}
	}
	return false, nil
}

func refusalUnless(done bool) error {
	if done {
		return nil
	}
	return refusal(platform.Conflict)
}

func (l *lab) joinTime(e *engine, model string) time.Duration {
	m, _ := l.engine.Model(model)
	switch {
	case e.last == model:
		return 200 * time.Millisecond
	case slices.Contains(e.staged, model):
		return m.Warm
	case !l.begun:
		return m.Load / 10
	}
	return m.Load
}

// checkJoin notes an engine that is joined to another group while the head of
// its own serves.
func (l *lab) checkJoin(e *engine, order platform.Order) {
	m := e.state.Member
	if m.Phase == site.Outside || m.Group == order.Group || len(e.members) == 0 {
		return
	}
	head := l.engines[e.members[0]]
	if head != nil && !head.dead && head.state.Member.In(m.Group, m.Epoch) && head.state.Member.Phase == site.Open {
		l.broken = append(l.broken, fmt.Sprintf("%v: %s joins %s while %s serves", l.now, e.id, order.Group, m.Group))
	}
}
