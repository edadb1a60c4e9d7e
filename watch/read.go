package watch

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
)

const (
	minWait      = 300 * time.Millisecond  // of a watch for changes
	maxWait      = 1500 * time.Millisecond // of one watch
	quickPause   = 250 * time.Millisecond  // as Options.Pause, if Quick returns true
	answerMargin = 700 * time.Millisecond  // for the answer of a call, beyond the wait of a watch
	pageTimeout  = 2 * time.Second         // for a page of a listing
	retryPause   = 300 * time.Millisecond  // after a failed call
	maxAge       = 2100 * time.Millisecond // a snapshot is confirmed again before it is older, unless the store is unreachable
	maxParts     = 2                       // answers to watches towards one goal, after which all keys are listed
)

// readStore reads the store up to a goal, and waits for further changes if there were none.
// Nothing but a goal that is reached proves how old the snapshot is: an answer to a watch
// may hold a part of the changes, or none of them.
func (w *Watcher) readStore(ctx context.Context) {
	if err := w.renewGoal(ctx); err != nil {
		w.recordFailure(ctx, "revision", err)
		return
	}
	changed, err := w.catchUp(ctx)
	if err != nil {
		w.recordFailure(ctx, "read", err)
		return
	}
	if !w.goal.reached(w.Snapshot()) {
		w.options.Log.Info("listing isn't complete", "era", w.goal.era, "goal", w.goal.revision, "revision", w.Snapshot().Revision)
		clock.Sleep(ctx, retryPause)
		return // the store came back from an older copy meanwhile
	}
	w.confirm(w.goal)
	pause := w.pause()
	if !changed {
		began := w.options.Boot()
		changed = w.await(ctx)
		if !changed {
			pause = minWait - (w.options.Boot() - began) // the store may cut a watch
		}
	}
	if !w.missed {
		clock.Sleep(ctx, pause)
	}
}

// catchUp reads up to the goal, and reports whether there were changes to be read. All keys
// are listed instead at first, when changes were missed, and when they come in so many parts
// that reading them one by one might take longer than new ones take to come.
func (w *Watcher) catchUp(ctx context.Context) (changed bool, err error) {
	for range maxParts {
		if !w.listed || w.missed {
			break
		}
		if w.goal.reached(w.Snapshot()) {
			return changed, nil
		}
		changed = true
		err := w.watch(ctx, 0)
		switch {
		case err == nil:
		case w.goal.own || isMissing(err):
			w.miss(err)
		default:
			return false, err // the store may not answer this daemon
		}
	}
	if w.listed && !w.missed && w.goal.reached(w.Snapshot()) {
		return changed, nil
	}
	w.missed = true
	return false, w.list(ctx)
}

// isMissing reports whether an error says that a watch can't be answered.
func isMissing(err error) bool {
	return platform.Is(err, platform.Compacted) || platform.Is(err, platform.Rewound) || platform.Is(err, platform.Large)
}

// miss records that the changes can't be had: a watch failed though the store had just
// answered, or said so.
func (w *Watcher) miss(err error) {
	w.missed = true
	w.options.Log.Info("changes not to be had, listing anew", "revision", w.Snapshot().Revision, "goal", w.goal.revision, "error", err.Error())
}

// await waits for changes after a snapshot that was just confirmed, and reports whether
// there were any. They confirm nothing, but the other daemons need not wait for them.
func (w *Watcher) await(ctx context.Context) bool {
	before := w.Snapshot().Revision
	err := w.watch(ctx, w.waitTime())
	switch {
	case isMissing(err):
		w.miss(err)
	case err != nil:
		w.recordFailure(ctx, "watch", err)
	case w.Snapshot().Revision > before:
		w.signalRead()
		return true
	}
	return false
}

// recordFailure records a failed call, logs the first of a series, and sleeps for
// retryPause. The store is in an outage only if most other daemons don't reach it either:
// it may turn single daemons away, or the path to it may be cut.
func (w *Watcher) recordFailure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	outage := !w.options.Others()
	if outage {
		w.outageAt.Store(int64(w.options.Boot()))
	}
	if !w.unreachable {
		w.unreachable = true
		w.options.Log.Info("store lost", "op", op, "error", err.Error(), "age", w.Age().String(), "outage", outage)
	}
	w.nextDirect = w.options.Boot() + directPause
	clock.Sleep(ctx, retryPause)
}

// confirm records that the snapshot is complete to a goal.
func (w *Watcher) confirm(g goal) {
	if p := w.proved.Load(); p != nil && *p == g {
		return
	}
	w.proved.Store(&g)
	w.recordSuccess(max(g.sent, time.Duration(w.freshAt.Load())))
}

// recordSuccess records that the snapshot holds all that was acknowledged before a reading
// of the boot clock.
func (w *Watcher) recordSuccess(freshAt time.Duration) {
	w.freshAt.Store(int64(freshAt))
	w.signalRead()
	if w.unreachable {
		w.unreachable = false
		w.options.Log.Info("store regained", "revision", w.Snapshot().Revision)
	}
}

// list replaces the snapshot by a listing of all keys.
func (w *Watcher) list(ctx context.Context) error {
	listing, err := w.options.Store.List(ctx, platform.AllKeys, pageTimeout)
	if err != nil {
		return err
	}
	w.replace(listing)
	w.missed = false
	w.options.Log.Info("store listed", "era", listing.Era, "revision", listing.Revision, "keys", len(listing.Items))
	return nil
}

// watch applies the changes that arrive within one watch.
func (w *Watcher) watch(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	held := w.Snapshot()
	listing, err := w.options.Store.Watch(ctx, platform.AllKeys, held.Era, held.Revision, wait)
	if err != nil {
		return err
	}
	w.applyChanges(listing)
	return nil
}

// waitTime returns how long a watch may wait for changes, which are followed by a pause:
// then the snapshot must be confirmed again.
func (w *Watcher) waitTime() time.Duration {
	return max(minWait, min(maxWait, maxAge-w.pause()-w.Age()))
}

// pause returns the time between a watch that returned changes and the next.
func (w *Watcher) pause() time.Duration {
	if w.options.Quick() {
		return quickPause
	}
	return w.options.Pause()
}
