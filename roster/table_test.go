package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/wire"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "21", Checks: "40"}) }

const (
	alive    = wire.Standing_STANDING_ALIVE
	suspect  = wire.Standing_STANDING_SUSPECT
	leaving  = wire.Standing_STANDING_LEAVING
	deceased = wire.Standing_STANDING_DEAD
)

func daemon(id string, boot, incarnation uint64, standing wire.Standing) *wire.Daemon {
	return &wire.Daemon{Id: id, Boot: boot, Incarnation: incarnation, Standing: standing}
}

// TestMerge checks which of two entries of a daemon takes precedence.
func TestMerge(t *testing.T) {
	tests := []struct {
		name            string
		known, received *wire.Daemon
		accepted        bool // whether the received entry takes precedence
	}{
		{"unknown", nil, daemon("b", 1, 0, alive), true},
		{"unknown dead one", nil, daemon("b", 1, 0, deceased), true},
		{"without standing", nil, daemon("b", 1, 0, 0), false},
		{"the same", daemon("b", 1, 0, alive), daemon("b", 1, 0, alive), false},
		{"suspicion", daemon("b", 1, 0, alive), daemon("b", 1, 0, suspect), true},
		{"refuted", daemon("b", 1, 0, suspect), daemon("b", 1, 1, alive), true},
		{"late suspicion", daemon("b", 1, 1, alive), daemon("b", 1, 0, suspect), false},
		{"leaving while suspect", daemon("b", 1, 0, suspect), daemon("b", 1, 0, leaving), true},
		{"suspicion of a leaving one", daemon("b", 1, 0, leaving), daemon("b", 1, 0, suspect), false},
		{"death of a leaving one", daemon("b", 1, 0, leaving), daemon("b", 1, 0, deceased), true},
		{"alive but dead", daemon("b", 1, 0, deceased), daemon("b", 1, 0, alive), false},
		{"alive again", daemon("b", 1, 0, deceased), daemon("b", 1, 1, alive), true},
		{"started again", daemon("b", 1, 5, deceased), daemon("b", 2, 0, alive), true},
		{"earlier boot", daemon("b", 2, 0, alive), daemon("b", 1, 9, deceased), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(daemon("a", 1, 0, alive), time.Time{})
			if test.known != nil {
				table.set(test.known, time.Time{})
			}
			is.Equal(table.merge(test.received, time.Time{}), test.accepted)
		})
	}
}

// TestRefute checks how a daemon answers an entry about itself.
func TestRefute(t *testing.T) {
	tests := []struct {
		name              string
		received          *wire.Daemon
		boot, incarnation uint64 // expected afterwards
	}{
		{"suspicion", daemon("a", 5, 0, suspect), 5, 1},
		{"death", daemon("a", 5, 3, deceased), 5, 4},
		{"earlier boot", daemon("a", 4, 9, deceased), 5, 0},
		{"earlier process whose clock was ahead", daemon("a", 8, 2, deceased), 9, 0},
		{"correct entry", daemon("a", 5, 0, alive), 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(daemon("a", 5, 0, alive), time.Time{})
			table.merge(test.received, time.Time{})
			own := table.members["a"].daemon
			is.Equal(own.Standing, alive)
			is.Equal(own.Boot, test.boot)
			is.Equal(own.Incarnation, test.incarnation)
		})
	}
}

// TestExpire checks when a suspect daemon is considered dead.
func TestExpire(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration // since the suspicion
		paused bool          // this daemon was paused itself
		want   wire.Standing
	}{
		{"in time", suspicionTimeout - time.Millisecond, false, suspect},
		{"too late", suspicionTimeout, false, deceased},
		{"too late after a pause", time.Minute, true, suspect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := New(Options{Self: daemon("a", 1, 0, alive), Log: logr.Discard()})
			start := time.Now()
			r.table.set(daemon("b", 1, 0, suspect), start)
			r.expire(start.Add(test.after), test.paused)
			found, _ := r.Find("b")
			is.Equal(found.Standing, test.want)
		})
	}
}

// TestMergeOrderProperty merges the same entries in two orders and checks that
// both tables end with the same roster hash.
func TestMergeOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(func(t *rapid.T) *wire.Daemon {
			return daemon(
				fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "id")),
				rapid.Uint64Range(1, 2).Draw(t, "boot"),
				rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
				wire.Standing(rapid.IntRange(1, 4).Draw(t, "standing")),
			)
		})).Draw(t, "entries")
		one, other := newTable(daemon("a", 1, 0, alive), time.Time{}), newTable(daemon("a", 1, 0, alive), time.Time{})
		for _, entry := range entries {
			one.merge(entry, time.Time{})
		}
		for _, entry := range rapid.Permutation(entries).Draw(t, "permutation") {
			other.merge(entry, time.Time{})
		}
		if one.rosterHash != other.rosterHash {
			t.Fatalf("digests differ: %v and %v", one.members, other.members)
		}
	})
}
