package groups

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
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
	is.True(!k.firstCandidate())
}
