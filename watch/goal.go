package watch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// IndexPath is the path at which a daemon tells others the latest revision of the store
// that it knows, and how long ago it asked for it: a read index.
const IndexPath = "/index"

const (
	goalInterval = 600 * time.Millisecond // least time between two reads of the store's revision
	indexTimeout = 300 * time.Millisecond // for another daemon's answer
	maxIndexAge  = time.Second            // of a goal that another daemon has reached; beyond it the store is asked
)

// goal is a revision that the store had at a time, or later.
type goal struct {
	era, revision int64
	sent          time.Duration // boot clock when it was asked for
	own           bool          // this daemon asked the store for it
}

// reached reports whether a snapshot is complete to the goal. It then holds all that the
// store had acknowledged when the goal was asked for.
func (g goal) reached(s *Snapshot) bool { return s.Era == g.era && s.Revision >= g.revision }

// renewGoal sets the goal to a revision that the store has now or had a moment ago, as this
// daemon or another one asked it. A listing is needed if it is of another era than the
// snapshot, or before it.
func (w *Watcher) renewGoal(ctx context.Context) error {
	next, found := w.askIndex(ctx)
	switch {
	case found:
	case w.goal.reached(w.Snapshot()) && w.options.Boot()-w.goal.sent < goalInterval:
		return nil
	default:
		sent := w.options.Boot()
		revision, era, err := w.options.Store.Revision(ctx, answerMargin)
		if err != nil {
			return err
		}
		next = goal{era: era, revision: revision, sent: sent, own: true}
		w.missed = w.missed || revision < w.Snapshot().Revision
	}
	w.goal = next
	w.missed = w.missed || next.era != w.Snapshot().Era
	return nil
}

// askIndex returns the goal that another daemon has reached, which reads the store's
// revision for this one, too. It reports false if there is no such daemon, this one has not
// listed the store yet or doesn't reach it, that goal is too old, or the other daemon doesn't
// answer: then it is not asked for relayPenalty.
func (w *Watcher) askIndex(ctx context.Context) (goal, bool) {
	address := w.options.Index()
	if !w.listed || w.unreachable || address == "" || w.options.Boot() < w.badUntil[address] {
		return goal{}, false
	}
	got, err := w.fetchIndex(ctx, address)
	if err != nil {
		w.badUntil[address] = w.options.Boot() + relayPenalty
		w.options.Log.Info("index not taken", "peer", address, "error", err.Error())
		return goal{}, false
	}
	if got.era < w.Snapshot().Era || w.options.Boot()-got.sent > maxIndexAge {
		return goal{}, false
	}
	w.options.Store.ObserveEra(got.era)
	return got, true
}

// fetchIndex requests the goal that another daemon has reached. It was asked for before
// this call was sent, by its age.
func (w *Watcher) fetchIndex(ctx context.Context, address string) (goal, error) {
	ctx, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+IndexPath, nil)
	if err != nil {
		return goal{}, err
	}
	sent := w.options.Boot()
	response, err := w.options.Do(request)
	if err != nil {
		return goal{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return goal{}, fmt.Errorf("status %d", response.StatusCode)
	}
	numbers, err := parseNumbers(response.Header, headerEra, headerRevision, headerAge)
	if err != nil {
		return goal{}, err
	}
	if numbers[headerRevision] == 0 {
		return goal{}, errors.New("no revision")
	}
	return goal{era: numbers[headerEra], revision: numbers[headerRevision], sent: sent - microsecondsOf(numbers[headerAge])}, nil
}

// Index answers another daemon with the goal that this one reached last, however old that
// is. It refuses if it has reached none.
func (w *Watcher) Index(out http.ResponseWriter, _ *http.Request) {
	proved := w.proved.Load()
	if proved == nil {
		http.Error(out, "no revision read yet", http.StatusServiceUnavailable)
		return
	}
	h := out.Header()
	h.Set(headerEra, strconv.FormatInt(proved.era, 10))
	h.Set(headerRevision, strconv.FormatInt(proved.revision, 10))
	h.Set(headerAge, microseconds(w.options.Boot()-proved.sent))
}
