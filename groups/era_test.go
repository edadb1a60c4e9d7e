package groups

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// The store came back from an older copy, which lacks the term of the keeper. The
// keeper gives no more orders on it.
func TestKeeperResignsInAnotherEra(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	k.term, k.termEra = 7, 1
	k.planner = NewPlanner(7, nil)
	stored := &watch.Snapshot{Era: 1, Keeper: watch.Term{Number: 7, Daemon: "d1", Era: 1}}
	is.True(k.remainsKeeper(stored))
	is.True(!k.remainsKeeper(&watch.Snapshot{Era: 2, Keeper: watch.Term{Number: 5, Daemon: "d0", Era: 1}}))
	is.True(!k.IsKeeper())
}

// Terms are fencing tokens. One that begins in a new era is higher than all of the
// eras before, whatever the older copy says.
func TestTermsRiseAcrossEras(t *testing.T) {
	is := is.New(t)
	first := nextTerm(&watch.Snapshot{Era: 1})
	second := nextTerm(&watch.Snapshot{Era: 1, Keeper: watch.Term{Number: first, Era: 1}})
	is.Equal(second, first+1)
	is.True(nextTerm(&watch.Snapshot{Era: 2, Keeper: watch.Term{Number: first, Era: 1}}) > second+1000)
	is.Equal(nextTerm(&watch.Snapshot{}), int64(1)) // a store that states no era
}

// A record of the copy names a daemon that lives but has resigned. It must not keep
// the others from office.
func TestRecordOfAnEarlierEraNamesNoKeeper(t *testing.T) {
	is := is.New(t)
	is.Equal(presentKeeper(&watch.Snapshot{Era: 1, Keeper: watch.Term{Daemon: "d5", Era: 1}}), "d5")
	is.Equal(presentKeeper(&watch.Snapshot{Era: 2, Keeper: watch.Term{Daemon: "d5", Era: 1}}), "")
	k := newKeeper()
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{From: site.Daemon{ID: "d0"}, Ready: true, Fresh: true}}
	}
	is.True(!k.firstCandidate(&watch.Snapshot{}, time.Minute))
}

// A keeper may begin another term, after the store came back from an older copy, while
// orders of its earlier term are unanswered. Their outcome says nothing of an order of
// the new term, nor does their refusal by fencing token end it.
func TestOutcomeOfAnEarlierTermIsIgnored(t *testing.T) {
	for _, status := range []int{http.StatusAccepted, http.StatusPreconditionFailed} {
		is := is.New(t)
		k := newKeeper()
		k.term = 7
		k.planner = NewPlanner(7, nil)
		current := platform.Order{Verb: platform.Leave, Group: "g2", Epoch: 2, Token: 7, Sequence: 4}
		k.planner.records["e"] = &orderRecord{sequence: 4, sequenceKnown: true, lastOrder: current, sentAt: time.Minute}
		k.options.Engines = &platform.Engines{Order: func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: http.NoBody}, nil
		}}
		earlier := platform.Order{Verb: platform.Leave, Group: "g1", Epoch: 1, Token: 6, Sequence: 4}
		k.send(t.Context(), Order{To: site.Endpoint{ID: "e", Address: "127.0.0.1:1"}, Order: earlier})
		is.True(k.IsKeeper())
		is.Equal(k.planner.records["e"].outcome, pending)
	}
}

// A daemon that started after the store came back from an older copy may lack failure
// domains that are out of service, and endpoints that drain. It must not become keeper
// while the others know better.
func TestKeeperStartedAfterTheStoreCameBack(t *testing.T) {
	for _, c := range []struct {
		name    string
		rewound bool
		want    bool
	}{{"long ago", false, true}, {"lately", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper()
			k.options.Watcher = storeWith(t, simul.Config(1))
			k.options.Store = &platform.Store{Base: "http://store", Do: func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
			}}
			k.options.Store.ObserveEra(k.options.Watcher.Snapshot().Era)
			k.startedAt = 0
			k.options.Alive = func() []gossip.Message { return []gossip.Message{{From: site.Daemon{ID: "d0"}, Rewound: c.rewound}} }
			k.step(t.Context())
			is.Equal(k.IsKeeper(), c.want)
		})
	}
}
