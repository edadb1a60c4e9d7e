package groups

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/watch"
)

// IsKeeper reports whether this daemon is the keeper.
func (k *Keeper) IsKeeper() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term != 0
}

// remainsKeeper reports whether this daemon is the keeper. It resigns if another
// daemon has a newer term, if the store came back from an older copy, in which
// its term may be missing, or if it is cut off from endpoints.
func (k *Keeper) remainsKeeper(stored *watch.Snapshot) bool {
	newest := stored.Keeper.Number
	for _, m := range k.options.Alive() {
		newest = max(newest, m.Term)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.term != 0 && newest > k.term:
		k.resign("another keeper has term", newest)
	case k.term != 0 && stored.Era != k.termEra:
		k.resign("store is in another era", 0)
	case k.term != 0 && k.options.CutOff():
		k.resign("cut off from endpoints", 0)
	}
	return k.term != 0
}

// resign ends this daemon's term as keeper. The argument newest is the newer term that
// was seen, or 0 if an engine refused an order by its fencing token. The lock must be
// held.
func (k *Keeper) resign(cause string, newest int64) {
	k.options.Log.Info("keeper resigns", "term", k.term, "cause", cause, "newest", newest)
	k.term = 0
	k.planner = nil
	k.announced = map[string]gossip.Group{}
	k.loggedStages = map[string]stage{}
	k.options.Metrics.setGroups(nil)
}

// campaign tries to become keeper if the present keeper is gone and this daemon is
// the first of the candidates.
func (k *Keeper) campaign(ctx context.Context, stored *watch.Snapshot) {
	now := k.options.Boot()
	present := presentKeeper(stored)
	if k.candidateSince == 0 {
		k.candidateSince = now
	}
	if k.options.CutOff() || k.missedRewind() || k.options.Watcher.Age() > maxSnapshotAge || now-k.startedAt < startWait || present != k.options.Self.ID && !k.firstCandidate(stored, now) {
		k.keeperGoneSince = 0
		return
	}
	if present != "" && k.heardFresh(present) {
		k.keeperGoneSince = 0
		return
	}
	if k.keeperGoneSince == 0 {
		k.keeperGoneSince = now
	}
	if now-k.keeperGoneSince < k.campaignWait(stored, present, now) {
		return
	}
	k.becomeKeeper(ctx, stored)
}

// campaignWait returns for how long the keeper must be seen gone, or there must have been
// none, before this daemon becomes keeper. The argument present is the one in the store's
// record. A daemon that ran late, or that hears none of those with more processor, rather
// hears late itself, and would be later still with the work of a keeper.
func (k *Keeper) campaignWait(stored *watch.Snapshot, present string, now time.Duration) time.Duration {
	switch {
	case k.missesLarger(stored):
		return lateWait
	case present == "":
		return 0
	case k.options.Late(now-lateWait) >= takeoverWait:
		return lateWait
	}
	return takeoverWait
}

// missesLarger reports whether the store lists daemons with more processor than this one,
// and none of them is heard.
func (k *Keeper) missesLarger(stored *watch.Snapshot) bool {
	larger := map[string]bool{}
	for id, d := range stored.Daemons {
		if d.Cores > k.options.Self.Cores {
			larger[id] = true
		}
	}
	heard := func(m gossip.Message) bool { return larger[m.From.ID] }
	return len(larger) > 0 && !slices.ContainsFunc(k.options.Alive(), heard)
}

// missedRewind reports whether the store came back from an older copy before this daemon
// started, so lately that the copy may lack what other daemons know.
func (k *Keeper) missedRewind() bool {
	lately := slices.ContainsFunc(k.options.Alive(), func(m gossip.Message) bool { return m.Rewound })
	return lately && !k.options.Watcher.Rewound()
}

// presentKeeper returns the keeper by the record in the store, or an empty string if
// there is none. A record of an earlier era is of an older copy, and the daemon that
// it names has resigned.
func presentKeeper(stored *watch.Snapshot) string {
	if stored.Keeper.Era != stored.Era {
		return ""
	}
	return stored.Keeper.Daemon
}

// termsPerEra is the number of terms reserved for each era of the store. The terms of
// an era are higher than those of earlier eras, which the store may have forgotten, so
// that no fencing token is given out twice.
const termsPerEra = 1 << 12

// nextTerm returns the number of the next term.
func nextTerm(stored *watch.Snapshot) int64 {
	return max(stored.Keeper.Number+1, stored.Era*termsPerEra)
}

// heardFresh reports whether a daemon is alive, reaches the store and endpoints, and is
// not shutting down.
func (k *Keeper) heardFresh(id string) bool {
	for _, m := range k.options.Alive() {
		if m.From.ID == id {
			return m.Fresh && !m.Cut && !m.Blind
		}
	}
	return false
}

// firstCandidate reports whether no other candidate, that is a daemon that is ready,
// reaches the store and endpoints and is not shutting down, precedes this one. For yieldTime a daemon
// that the store lists counts too, since others have hardly been heard by then.
func (k *Keeper) firstCandidate(stored *watch.Snapshot, now time.Duration) bool {
	if now-k.candidateSince < yieldTime {
		for _, d := range stored.Daemons {
			if d.Precedes(k.options.Self) {
				return false
			}
		}
	}
	for _, m := range k.options.Alive() {
		if m.Fresh && m.Ready && !m.Cut && !m.Blind && m.From.Precedes(k.options.Self) {
			return false
		}
	}
	return true
}

// becomeKeeper writes the keeper record with the next term by compare-and-swap. If
// that succeeds, this daemon is the keeper.
func (k *Keeper) becomeKeeper(ctx context.Context, stored *watch.Snapshot) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	term := watch.Term{Number: nextTerm(stored), Daemon: k.options.Self.ID, Era: stored.Era}
	value, err := json.Marshal(term)
	if err != nil {
		k.options.Log.Error(err, "keeper record not written")
		return
	}
	_, err = k.options.Store.Commit(ctx, platform.Txn{
		Era:    stored.Era,
		Expect: []platform.Condition{{Key: platform.KeeperKey, Revision: stored.Keeper.Revision}},
		Puts:   []platform.Put{{Key: platform.KeeperKey, Value: value}},
	})
	k.keeperGoneSince = 0
	if err != nil {
		// If the answer was lost, a later snapshot of the store shows who became
		// keeper. A daemon that finds itself there campaigns again with the next term.
		k.options.Log.Info("office not taken", "term", term.Number, "error", err.Error())
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term = term.Number
	k.termEra = term.Era
	k.termAt = k.options.Boot()
	k.planner = NewPlanner(term.Number, k.lastModel)
	k.reports = map[string]report{}
	k.options.Log.Info("keeper takes office", "term", term.Number, "before", stored.Keeper.Daemon, "era", term.Era)
}
