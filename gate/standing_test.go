package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// TestStanding holds who stands in for a dead gate, and who uses half of its
// limit, against what a daemon sees of the others.
func TestStanding(t *testing.T) {
	const (
		alive   = wire.Standing_STANDING_ALIVE
		suspect = wire.Standing_STANDING_SUSPECT
		dead    = wire.Standing_STANDING_DEAD
	)
	left := &wire.Daemon{Id: "e", Standing: dead, Left: true}
	cases := []struct {
		name     string
		others   []wire.Standing // of b, c and d
		more     *wire.Daemon
		unheard  time.Duration // since the store vouched for the view
		paused   bool
		weak     bool
		standsIn bool // for d
	}{
		{name: "all is well", others: []wire.Standing{alive, alive, alive}},
		{name: "dead gate, store up", others: []wire.Standing{alive, alive, dead}},
		{name: "dead gate, store down", others: []wire.Standing{alive, alive, dead}, unheard: time.Minute, standsIn: true},
		{name: "not for long enough", others: []wire.Standing{alive, alive, dead}, unheard: interimLife},
		{name: "half of the daemons", others: []wire.Standing{alive, dead, dead}, unheard: time.Minute, weak: true},
		{name: "half, and one that left", others: []wire.Standing{alive, alive, dead}, more: left, unheard: time.Minute, standsIn: true},
		{name: "suspects don't count", others: []wire.Standing{suspect, suspect, dead}, unheard: time.Minute, weak: true},
		{name: "alone, store up", others: []wire.Standing{dead, dead, dead}},
		{name: "just started, or woken", others: []wire.Standing{alive, alive, dead}, unheard: time.Minute, paused: true, weak: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			daemons := []*wire.Daemon{{Id: "a", Standing: alive, Domain: "z"}}
			for i, standing := range test.others {
				daemons = append(daemons, &wire.Daemon{Id: string(rune('b' + i)), Standing: standing})
			}
			if test.more != nil {
				daemons = append(daemons, test.more)
			}
			var s standing
			for past := 2 * pauseDoubt; past >= 0 && !test.paused; past -= pauseLimit {
				s.update(start.Add(-past), "a", daemons, start.Add(-test.unheard))
			}
			s.update(start, "a", daemons, start.Add(-test.unheard))
			is.Equal(s.weak, test.weak)
			is.Equal(s.standsIn(start, fleet.Replica{ID: "r", Gate: "d"}, "z", conf.Document{}), test.standsIn)
		})
	}
}

// TestForgotten shows that daemons which the roster forgets while the store is
// down still count as those that are not seen.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	daemon := func(id string, standing wire.Standing) *wire.Daemon { return &wire.Daemon{Id: id, Standing: standing} }
	var s standing
	const alive, dead = wire.Standing_STANDING_ALIVE, wire.Standing_STANDING_DEAD
	s.update(start, "a", []*wire.Daemon{daemon("a", alive), daemon("b", alive), daemon("c", alive)}, start)
	now := start.Add(confirmLife + 1)
	s.update(now, "a", []*wire.Daemon{daemon("a", alive), daemon("b", dead), daemon("c", dead)}, start)
	is.True(s.weak)
	s.update(now, "a", []*wire.Daemon{daemon("a", alive)}, start)
	is.True(s.weak)
}
