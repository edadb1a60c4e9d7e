package groups

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// order delivers an order, or loses it, or delays it and reports it lost.
func (c *cluster) order(id string, order platform.Order) (bool, error) {
	e := c.engines[id]
	if e == nil || e.dead || e.silent {
		return false, &platform.Error{Op: "order", Kind: platform.Lost, Err: errors.New("no answer")}
	}
	if c.loseOrder != nil {
		if lost, after := c.loseOrder(id); lost {
			if after > 0 {
				c.delayed = append(c.delayed, delayedOrder{c.now + after, id, order})
			}
			return false, &platform.Error{Op: "order", Kind: platform.Lost, Err: errors.New("no answer")}
		}
	}
	return c.apply(id, order)
}

func refusal(kind platform.Kind) error {
	return &platform.Error{Op: "order", Kind: kind, Err: errors.New("refused")}
}

func (c *cluster) apply(id string, order platform.Order) (bool, error) {
	e := c.engines[id]
	if e == nil || e.dead {
		return false, refusal(platform.Lost)
	}
	if order.Token < e.fence {
		return false, refusal(platform.Fenced)
	}
	e.fence = order.Token
	if order.Sequence != e.sequence {
		c.conflicts++
		c.trace = append(c.trace, fmt.Sprintf("%v %s %v %s token %d sequence %d refused: is at %d", c.now, id, order.Verb, order.Group, order.Token, order.Sequence, e.sequence))
		return false, refusal(platform.Conflict)
	}
	before := e.state.Member
	done, err := c.execute(e, order)
	c.trace = append(c.trace, fmt.Sprintf("%v %s %v %s token %d sequence %d: done %v, %v; was in %v", c.now, id, order.Verb, order.Group, order.Token, order.Sequence, done, err, before))
	if err == nil && !done {
		e.sequence++
		e.recordState(c.now)
	}
	return done, err
}

func (c *cluster) execute(e *engine, order platform.Order) (bool, error) {
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
		c.checkJoin(e, order)
		e.members = order.Members
		e.readyAt = c.now + c.joinTime(e, order.Model)
		e.lastModel = order.Model
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
		e.sequence++
		e.recordState(c.now)
		return true, nil // done at once, yet it counts
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

func (c *cluster) joinTime(e *engine, model string) time.Duration {
	m, _ := c.engine.Model(model)
	switch {
	case e.lastModel == model:
		return 200 * time.Millisecond
	case slices.Contains(e.staged, model):
		return m.Warm
	case !c.hadTraffic:
		return m.Load / 10
	}
	return m.Load
}

// checkJoin records a violation if an engine joins another group while the leader
// of its present one serves.
func (c *cluster) checkJoin(e *engine, order platform.Order) {
	m := e.state.Member
	if m.Phase == site.Outside || m.Group == order.Group || len(e.members) == 0 {
		return
	}
	leader := c.engines[e.members[0]]
	if leader != nil && !leader.dead && leader.state.Member.In(m.Group, m.Epoch) && leader.state.Member.Phase == site.Open {
		c.violations = append(c.violations, fmt.Sprintf("%v: %s joins %s while %s serves", c.now, e.id, order.Group, m.Group))
	}
}
