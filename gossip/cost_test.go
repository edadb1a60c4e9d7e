package gossip

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

// follower returns a daemon of a large fleet that has heard its relay, and no message after.
// It has not met others by chance, who would fall silent meanwhile.
func follower() (*fleet, *Gossip) {
	f := newFleet(295, 5)
	f.run(4 * time.Second)
	g := f.daemons[f.listed["d150"].Peer]
	maps.DeleteFunc(g.peers, func(id string, _ *peer) bool { return id != g.relay })
	g.alive = aliveView{}
	g.Alive()
	return f, g
}

// A list of all other daemons was made anew twenty times a second, two thirds of all that a
// daemon of a large fleet allocated.
func TestManyDaemonsCostNothingBetweenMessages(t *testing.T) {
	is := is.New(t)
	f, g := follower()
	heard := len(g.Alive())
	is.Equal(heard, 294)
	const asked = 6 // times, in less than it takes until anybody falls silent
	allocs := testing.AllocsPerRun(asked, func() {
		f.now += aliveMemory
		g.Alive()
	})
	is.Equal(len(g.Alive()), heard)
	is.Equal(allocs, 0.0)
}

// What is kept between messages ends as the relay falls silent.
func TestKeptViewEndsWithItsRelay(t *testing.T) {
	is := is.New(t)
	f, g := follower()
	is.Equal(len(g.Alive()), 294)
	f.now += 2 * maxSilence
	is.Equal(len(g.Alive()), 0)
}

// BenchmarkAlive295 is the cost of what a daemon knows of 294 others, each time that a message
// has come.
func BenchmarkAlive295(b *testing.B) {
	f, g := follower()
	relay := g.peers[g.relay].message
	b.ReportAllocs()
	for b.Loop() {
		g.handle(relay)
		f.now += aliveMemory
		g.Alive()
	}
}
