package pick

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/sight"
)

// Options are what a Desk needs.
type Options struct {
	Domain string // this daemon's failure domain
	Boot   func() time.Duration
	View   func() *sight.View
	Alive  func() []gossip.Message
	Budget func() Budget  // as it is in force, for each service, of all daemons together
	Shares func() int     // daemons that share the budget and a cold endpoint's rate, heard or not
	Draw   func() float64 // at random, from 0 up to 1
	Log    logr.Logger
}

// Desk gives requests a place at an endpoint. Use New.
type Desk struct {
	options Options
	mu      sync.Mutex
	heads   map[string]*head
	lines   map[string]*line
	budgets map[string]*Budget
	told    map[string]gossip.Group // groups that the keeper told of, by head
}

// Ask is a request that needs a place.
type Ask struct {
	Service string
	Model   string          // empty for a plain service
	Prompt  int             // tokens
	Rank    int             // 0 is the most urgent
	Limit   time.Duration   // the longest wait
	Aim     time.Duration   // left until it is late, below 0 where it is
	Back    bool            // it was refused before and came back
	Begun   bool            // its caller has a part of the stream already
	Avoid   map[string]bool // endpoints that failed it
}

func (a Ask) key() string { return a.Service + "/" + a.Model }

// New returns a desk that knows of nothing in progress.
func New(o Options) *Desk {
	return &Desk{
		options: o, heads: map[string]*head{}, lines: map[string]*line{},
		budgets: map[string]*Budget{}, told: map[string]gossip.Group{},
	}
}

// Acquire returns a place for a request, after a wait if need be. The error is
// an *Error: the request has not run.
func (d *Desk) Acquire(ctx context.Context, ask Ask) (*Place, error) {
	began := time.Now()
	d.mu.Lock()
	l := d.line(ask.key())
	if !ask.Back && len(ask.Avoid) == 0 {
		l.arrivals.add(began)
	}
	queue := l.queue(ask, began)
	if !l.busy(began) || ask.Begun {
		if place := d.place(ask, l, began); place != nil {
			d.mu.Unlock()
			return place, nil
		}
	}
	fit := len(d.fit(ask))
	verdict := Wait(queue)
	if !verdict.Wait {
		d.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: Full, After: verdict.After, Queue: queue, Fit: fit}
	}
	w := &waiter{ask: ask, place: make(chan *Place, 1), inTime: began.Add(queue.Slack)}
	l.waiting = append(l.waiting, w)
	d.mu.Unlock()
	return d.await(ctx, l, w, began, queue)
}

func (d *Desk) await(ctx context.Context, l *line, w *waiter, began time.Time, queue Queue) (*Place, error) {
	timer := time.NewTimer(w.ask.Limit)
	defer timer.Stop()
	kind := Late
	select {
	case place, given := <-w.place:
		if given {
			return place, nil
		}
		return nil, &Error{Op: "acquire", Kind: Full, After: mostRetry / 2, Queue: queue, Waited: time.Since(began)}
	case <-timer.C:
	case <-ctx.Done():
		kind = Left
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case place, given := <-w.place:
		if given && kind == Late {
			return place, nil
		}
		if given {
			d.release(place, time.Now())
		}
	default:
		l.remove(w)
	}
	fit := len(d.fit(w.ask))
	if fit == 0 && kind == Late {
		kind = Nowhere
	}
	return nil, &Error{Op: "acquire", Kind: kind, After: mostRetry / 2, Queue: queue, Fit: fit, Waited: time.Since(began)}
}

// Spend asks for another send to a service out of the shared budget.
func (d *Desk) Spend(service string) Spending {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(service)
	inForce := d.options.Budget()
	b.Ratio = inForce.Ratio
	b.Window = inForce.Window
	b.Extra = inForce.Extra / float64(max(1, d.options.Shares()))
	return b.Spend(time.Now())
}

// Count notes a caller's request for a service.
func (d *Desk) Count(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).Ask(time.Now())
}

func (d *Desk) budget(service string) *Budget {
	b, ok := d.budgets[service]
	if !ok {
		copied := d.options.Budget()
		b = &copied
		d.budgets[service] = b
	}
	return b
}

// Kick gives places to those that wait, after something changed.
func (d *Desk) Kick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kick(time.Now())
}

func (d *Desk) kick(now time.Time) {
	for _, l := range d.lines {
		d.serve(l, now)
		l.clear(now)
	}
}

func (d *Desk) serve(l *line, now time.Time) {
	for _, w := range l.order(now) {
		place := d.place(w.ask, l, now)
		if place == nil && len(w.ask.Avoid) == 0 {
			return
		}
		if place != nil {
			l.remove(w)
			w.place <- place
		}
	}
}

// place takes a place that is free now, or returns nil.
func (d *Desk) place(ask Ask, l *line, now time.Time) *Place {
	fit := d.fit(ask)
	candidates := make([]Candidate, len(fit))
	for i, e := range fit {
		candidates[i] = d.candidate(e, ask, now)
	}
	i := ChooseAmong(candidates, d.options.Draw)
	if i < 0 {
		return nil
	}
	h := d.head(fit[i].ID)
	h.begin(now)
	h.unread += ask.Prompt
	l.active++
	return &Place{
		Endpoint: fit[i], Load: candidates[i].Load, Read: candidates[i].Read,
		desk: d, head: h, line: l, last: now, taken: now, unread: ask.Prompt,
	}
}

// Report returns what to tell the other daemons of requests and endpoints.
func (d *Desk) Report() gossip.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	m := gossip.Message{Heads: map[string]gossip.Head{}, Demand: map[string]int{}, Lines: map[string]gossip.Line{}}
	for id, h := range d.heads {
		if h.own > 0 || h.ownStuck(now) {
			m.Heads[id] = gossip.Head{Running: h.own, Unread: h.unread, Stuck: h.ownStuck(now)}
		}
	}
	for key, l := range d.lines {
		if n := l.demand(now); n > 0 {
			m.Demand[key] = n
		}
		own := l.tell(now)
		own.Freed = tenths(own.Freed)
		own.Came = tenths(own.Came)
		if own != (gossip.Line{}) {
			m.Lines[key] = own
		}
	}
	return m
}

// Update takes what the other daemons said, and the groups that the keeper told
// of.
func (d *Desk) Update(messages []gossip.Message, own map[string]gossip.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, h := range d.heads {
		h.others = 0
		h.foreign = 0
	}
	for _, l := range d.lines {
		l.others = gossip.Line{}
	}
	d.tell(own)
	for _, m := range messages {
		d.tell(m.Groups)
		for key, other := range m.Lines {
			d.line(key).join(other)
		}
		for id, other := range m.Heads {
			h := d.head(id)
			h.others += other.Running
			h.foreign += other.Unread
			if other.Stuck && !h.told(now) {
				d.options.Log.Info("endpoint said to stand still", "endpoint", id, "peer", m.From.ID, "revision", m.Revision)
			}
			if other.Stuck {
				h.stuckTil = now.Add(stuckAfter)
			}
		}
	}
	d.forget()
	d.kick(now)
}

func (d *Desk) tell(groups map[string]gossip.Group) {
	for id, g := range groups {
		old := d.told[id]
		if g.Epoch < old.Epoch || g == old {
			continue
		}
		d.told[id] = g
		d.options.Log.Info("group told", "endpoint", id, "group", g.Name, "epoch", g.Epoch, "model", g.Model, "open", g.Open)
	}
}

// forget drops endpoints that are gone.
func (d *Desk) forget() {
	v := d.options.View()
	for id, h := range d.heads {
		if _, listed := v.Endpoints[id]; !listed && h.own == 0 {
			delete(d.heads, id)
			delete(d.told, id)
		}
	}
}
