package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// TestQuorum checks which daemon substitutes for a dead gate, and which uses
// half of its limit, for the daemons that a daemon sees alive.
func TestQuorum(t *testing.T) {
	const (
		alive   = wire.Standing_STANDING_ALIVE
		suspect = wire.Standing_STANDING_SUSPECT
		dead    = wire.Standing_STANDING_DEAD
	)
	left := &wire.Daemon{Id: "e", Standing: dead, Left: true}
	cases := []struct {
		name        string
		others      []wire.Standing // of b, c and d
		extra       *wire.Daemon
		unconfirmed time.Duration // since the store last confirmed the view
		paused      bool
		reduced     bool
		substitute  bool // for gate d
	}{
		{name: "all is well", others: []wire.Standing{alive, alive, alive}},
		{name: "dead gate, store up", others: []wire.Standing{alive, alive, dead}},
		{name: "dead gate, store down", others: []wire.Standing{alive, alive, dead}, unconfirmed: time.Minute, substitute: true},
		{name: "not for long enough", others: []wire.Standing{alive, alive, dead}, unconfirmed: interimDelay},
		{name: "half of the daemons", others: []wire.Standing{alive, dead, dead}, unconfirmed: time.Minute, reduced: true},
		{name: "half, and one that left", others: []wire.Standing{alive, alive, dead}, extra: left, unconfirmed: time.Minute, substitute: true},
		{name: "suspects don't count", others: []wire.Standing{suspect, suspect, dead}, unconfirmed: time.Minute, reduced: true},
		{name: "alone, store up", others: []wire.Standing{dead, dead, dead}},
		{name: "just started or resumed", others: []wire.Standing{alive, alive, dead}, unconfirmed: time.Minute, paused: true, reduced: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			daemons := []*wire.Daemon{{Id: "a", Standing: alive, Domain: "z"}}
			for i, standing := range test.others {
				daemons = append(daemons, &wire.Daemon{Id: string(rune('b' + i)), Standing: standing})
			}
			if test.extra != nil {
				daemons = append(daemons, test.extra)
			}
			var q quorum
			for past := 2 * rosterSettle; past >= 0 && !test.paused; past -= pauseLimit {
				q.update(start.Add(-past), "a", daemons, start.Add(-test.unconfirmed))
			}
			q.update(start, "a", daemons, start.Add(-test.unconfirmed))
			is.Equal(q.reduced, test.reduced)
			is.Equal(q.isSubstitute(start, fleet.Replica{ID: "r", Gate: "d"}, "z", conf.Document{}), test.substitute)
		})
	}
}

// TestForgottenDaemons checks that daemons which the roster drops while the
// store is down still count as not alive.
func TestForgottenDaemons(t *testing.T) {
	is := is.New(t)
	daemon := func(id string, standing wire.Standing) *wire.Daemon { return &wire.Daemon{Id: id, Standing: standing} }
	var q quorum
	const alive, dead = wire.Standing_STANDING_ALIVE, wire.Standing_STANDING_DEAD
	q.update(start, "a", []*wire.Daemon{daemon("a", alive), daemon("b", alive), daemon("c", alive)}, start)
	now := start.Add(confirmLifetime + 1)
	q.update(now, "a", []*wire.Daemon{daemon("a", alive), daemon("b", dead), daemon("c", dead)}, start)
	is.True(q.reduced)
	q.update(now, "a", []*wire.Daemon{daemon("a", alive)}, start)
	is.True(q.reduced)
}
