package groups

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/sight"
)

// InOffice reports whether this daemon orders the groups.
func (k *Keeper) InOffice() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term != 0
}

// stays reports whether this daemon is the keeper, and leaves office where
// another one came.
func (k *Keeper) stays(view *sight.View) bool {
	newest := view.Keeper.Number
	for _, m := range k.options.Alive() {
		newest = max(newest, m.Term)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term != 0 && newest > k.term {
		k.resign("another keeper has term", newest)
	}
	return k.term != 0
}

func (k *Keeper) resign(cause string, newest int64) {
	k.options.Log.Info("keeper resigns", "term", k.term, "cause", cause, "newest", newest)
	k.term = 0
	k.planner = nil
	k.groups = map[string]gossip.Group{}
	k.stages = map[string]stage{}
	k.options.Metrics.count(nil)
}

// run stands for office where the keeper is gone and this daemon is the first
// of those that could follow.
func (k *Keeper) run(ctx context.Context, view *sight.View) {
	now := k.options.Boot()
	if k.options.Sight.Age() > freshEnough || now-k.began < startWait || !k.first() {
		k.vacant = 0
		return
	}
	if view.Keeper.Daemon != "" && k.holds(view.Keeper.Daemon) {
		k.vacant = 0
		return
	}
	if k.vacant == 0 {
		k.vacant = now
	}
	if view.Keeper.Daemon != "" && now-k.vacant < vacantWait {
		return
	}
	k.take(ctx, view)
}

// holds reports whether a keeper is heard and reaches the store.
func (k *Keeper) holds(id string) bool {
	for _, m := range k.options.Alive() {
		if m.From.ID == id {
			return m.Fresh
		}
	}
	return false
}

// first reports whether no other daemon that could follow comes before this one.
func (k *Keeper) first() bool {
	for _, m := range k.options.Alive() {
		if m.Fresh && m.Ready && strings.Compare(m.From.ID, k.options.Self.ID) < 0 {
			return false
		}
	}
	return true
}

// take takes office under compare-and-swap.
func (k *Keeper) take(ctx context.Context, view *sight.View) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	term := sight.Term{Number: view.Keeper.Number + 1, Daemon: k.options.Self.ID}
	value, err := json.Marshal(term)
	if err != nil {
		k.options.Log.Error(err, "keeper record not written")
		return
	}
	_, err = k.options.Store.Commit(ctx, platform.Txn{
		Expect: []platform.Expect{{Key: platform.KeeperKey, Revision: view.Keeper.Revision}},
		Puts:   []platform.Put{{Key: platform.KeeperKey, Value: value}},
	})
	k.vacant = 0
	if err != nil {
		// Where the answer was lost, the view shows who took office, and a
		// daemon that finds itself there stands again with the next term.
		k.options.Log.Info("office not taken", "term", term.Number, "error", err.Error())
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term = term.Number
	k.planner = NewPlanner(term.Number, k.last)
	k.reports = map[string]report{}
	k.options.Log.Info("keeper takes office", "term", term.Number, "before", view.Keeper.Daemon)
}
