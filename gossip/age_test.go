package gossip

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// names reports whether a daemon names another one as ready to accept callers.
func (f *fleet) names(by, id string) bool {
	f.now += aliveMemory
	defer func() { f.now -= aliveMemory }()
	for _, m := range f.daemons[f.listed[by].Peer].Alive() {
		if m.From.ID == id && m.Ready {
			return true
		}
	}
	return false
}

// A relay is heard again after a long time, as it sends to a daemon at random now and then,
// by a message without members. Those of its message before must not be named: some have
// been off for long.
func TestRelayHeardAgainNamesDaemonsLongOff(t *testing.T) {
	is := is.New(t)
	now := time.Second
	off := site.Daemon{ID: "off", Domain: "south", Peer: "127.0.0.1:3"}
	g := New(Options{
		Self: site.Daemon{ID: "a", Domain: "north"}, Boot: func() time.Duration { return now }, Receive: func(Message) {},
		Listed: func() map[string]site.Daemon { return map[string]site.Daemon{"off": off} }, Log: logr.Discard(),
	})
	relay := site.Daemon{ID: "r", Domain: "south", Peer: "127.0.0.1:2"}
	g.handle(Message{
		From: relay, Scope: Part, Full: true, Ready: true, Members: []Member{{ID: "r", Ready: true}, {ID: "off", Ready: true}},
		Groups: map[string]Group{"e": {Name: "g", Epoch: 1, Open: true}},
	})
	is.Equal(len(g.Alive()), 2)
	now += 10 * time.Second
	g.handle(Message{From: relay, Scope: Part, Ready: true})
	alive := g.Alive()
	is.Equal(len(alive), 1)
	is.Equal(alive[0].From.ID, "r")
	is.Equal(len(alive[0].Groups), 0) // they may be gone as well
}

// News of a daemon passes up to three others. Where all of them are slow, a daemon that is
// off must still not be named longer than five seconds.
func TestSlowDaemonsNameOneLongOff(t *testing.T) {
	is := is.New(t)
	const off, slowness = "d050", 2 // rounds in which a daemon takes part once
	f := newFleet(60, 4)
	round := 0
	run := func(d time.Duration) {
		for end := f.now + d; f.now < end; f.now += period {
			round++
			for i, address := range f.addresses() {
				if !f.dead[address] && (round+i)%slowness == 0 {
					f.daemons[address].Round()
				}
			}
		}
	}
	run(15 * time.Second)
	named := 0
	for id := range f.listed {
		if id != off && f.names(id, off) {
			named++
		}
	}
	is.True(named > 40) // most know it while it runs
	f.dead[f.listed[off].Peer] = true
	run(5 * time.Second)
	for range 10 {
		run(500 * time.Millisecond)
		for id := range f.listed {
			if id != off && f.names(id, off) {
				t.Errorf("%s is named by %s", off, id)
			}
		}
	}
}

// That a daemon is cut off from endpoints is known to those that hear of it by a relay.
func TestCutOffDaemonIsKnownByRelay(t *testing.T) {
	is := is.New(t)
	far := site.Daemon{ID: "far", Domain: "south", Peer: "127.0.0.1:3"}
	g := New(Options{
		Self: site.Daemon{ID: "a", Domain: "north"}, Boot: func() time.Duration { return time.Second }, Receive: func(Message) {},
		Listed: func() map[string]site.Daemon { return map[string]site.Daemon{"far": far} }, Log: logr.Discard(),
	})
	g.handle(Message{
		From: site.Daemon{ID: "r", Domain: "south", Peer: "127.0.0.1:2"}, Scope: Part, Full: true,
		Members: []Member{{ID: "r"}, {ID: "far", Cut: true}},
	})
	cut := map[string]bool{}
	for _, m := range g.Alive() {
		cut[m.From.ID] = m.Cut
	}
	is.Equal(cut, map[string]bool{"r": false, "far": true})
}

// That a daemon goes on without having heard of endpoints is known to those that hear of it
// by a relay, too: nobody may send requests through it.
func TestBlindDaemonIsKnownByRelay(t *testing.T) {
	is := is.New(t)
	far := site.Daemon{ID: "far", Domain: "south", Peer: "127.0.0.1:3"}
	g := New(Options{
		Self: site.Daemon{ID: "a", Domain: "north"}, Boot: func() time.Duration { return time.Second }, Receive: func(Message) {},
		Listed: func() map[string]site.Daemon { return map[string]site.Daemon{"far": far} }, Log: logr.Discard(),
	})
	g.handle(Message{
		From: site.Daemon{ID: "r", Domain: "south", Peer: "127.0.0.1:2"}, Scope: Part, Full: true, Blind: true,
		Members: []Member{{ID: "r", Blind: true}, {ID: "far", Blind: true}},
	})
	blind := map[string]bool{}
	for _, m := range g.Alive() {
		blind[m.From.ID] = m.Blind
	}
	is.Equal(blind, map[string]bool{"r": true, "far": true})
}
