package groups

import (
	"context"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

// report is what an endpoint said when asked.
type report struct {
	state  site.State
	sent   time.Duration // when it was asked last
	asked  time.Duration // when the report was asked for that the state is from
	misses int
	asking bool
	known  bool
}

// watchOver notes which endpoints the daemons saw stand still.
func (k *Keeper) watchOver() {
	now := k.options.Boot()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begun = k.begun || len(k.options.Demand()) > 0
	for _, m := range k.options.Alive() {
		k.begun = k.begun || len(m.Demand) > 0
		for id, h := range m.Heads {
			if !h.Stuck {
				continue
			}
			for _, member := range append(k.planner.MembersOf(id), id) {
				k.checks[member] = now + checkFor
			}
		}
	}
}

// newer reports whether an endpoint's own report tells more than its entry.
func newer(r report, e site.Endpoint, lag time.Duration) bool {
	if r.state.Born != e.State.Born {
		return r.state.Born > e.State.Born
	}
	return r.asked-lag > e.Seen
}

// poll asks endpoints for their reports: those in transition, and those that
// may be dead.
func (k *Keeper) poll(ctx context.Context, view *sight.View, wants []string) {
	now := k.options.Boot()
	k.mu.Lock()
	defer k.mu.Unlock()
	each := pollEach
	if !k.begun {
		each = pollEarly
	}
	for _, id := range wants {
		k.ask(ctx, view, id, now, each)
	}
	for id, until := range k.checks {
		if now > until && k.reports[id].misses == 0 {
			delete(k.checks, id)
			continue
		}
		k.ask(ctx, view, id, now, checkEach)
	}
}

func (k *Keeper) ask(ctx context.Context, view *sight.View, id string, now, each time.Duration) {
	e, listed := view.Endpoints[id]
	r := k.reports[id]
	if !listed || r.asking || now-r.sent < each {
		return
	}
	r.asking = true
	r.sent = now
	k.reports[id] = r
	go k.fetch(ctx, e)
}

func (k *Keeper) fetch(ctx context.Context, e site.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	asked := k.options.Boot()
	state, err := k.options.Engines.Report(ctx, e)
	now := k.options.Boot()
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.reports[e.ID]
	r.asking = false
	switch {
	case err == nil:
		r.state, r.asked, r.known, r.misses = state, asked, true, 0
	case platform.Is(err, platform.Lost) || platform.Is(err, platform.Stranger):
		r.misses++
		k.checks[e.ID] = now + checkFor
		if r.misses == missesToDead {
			k.options.Log.Info("endpoint silent", "endpoint", e.ID, "error", err.Error())
		}
	default:
		k.options.Log.Info("report not taken", "endpoint", e.ID, "error", err.Error())
	}
	k.reports[e.ID] = r
}
