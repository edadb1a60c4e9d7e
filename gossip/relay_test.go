package gossip

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// fleet is a number of daemons that exchange messages on a simulated clock. Each has one
// request in progress at endpoint "e", and one at an endpoint of its own.
type fleet struct {
	now     time.Duration
	daemons map[string]*Gossip // by address
	dead    map[string]bool
	stale   map[string]bool // daemons that have lost the store, by ID
	sent    map[string]int  // datagrams, by the sender's address
	listed  map[string]site.Daemon
	domains int
}

// pipe is the socket of a daemon of a fleet.
type pipe struct {
	net.PacketConn
	fleet *fleet
	from  string
}

// WriteTo delivers a datagram at once.
func (p *pipe) WriteTo(data []byte, to net.Addr) (int, error) {
	p.fleet.sent[p.from]++
	m, err := decode(data)
	if receiver, ok := p.fleet.daemons[to.String()]; ok && err == nil && !p.fleet.dead[to.String()] {
		receiver.handle(m)
	}
	return len(data), err
}

// newFleet returns a fleet of n daemons in a number of failure domains.
func newFleet(n, domains int) *fleet {
	f := &fleet{now: time.Second, daemons: map[string]*Gossip{}, dead: map[string]bool{}, stale: map[string]bool{}, sent: map[string]int{}, listed: map[string]site.Daemon{}, domains: domains}
	for i := range n {
		d := site.Daemon{ID: fmt.Sprintf("d%03d", i), Domain: fmt.Sprint(i % domains), Peer: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)}
		f.listed[d.ID] = d
		f.add(d)
	}
	return f
}

func (f *fleet) add(d site.Daemon) {
	f.daemons[d.Peer] = New(Options{
		Self: d, Conn: &pipe{fleet: f, from: d.Peer}, Boot: func() time.Duration { return f.now }, Log: logr.Discard(),
		Listed: func() map[string]site.Daemon { return f.listed }, Receive: func(Message) {},
		Fresh: func() bool { return !f.stale[d.ID] },
		Report: func() Message {
			m := Message{Ready: true, Fresh: !f.stale[d.ID], Endpoints: map[string]EndpointLoad{"e": {Running: 1}, "e-" + d.ID: {Running: 1}}, Demand: map[string]int{"m": 1}}
			if d.ID == "d000" {
				m.Groups = map[string]Group{"e": {Name: "g", Epoch: 1, Model: "m", Open: true}}
			}
			return m
		},
	})
}

func (f *fleet) addresses() []string {
	addresses := make([]string, 0, len(f.daemons))
	for address := range f.daemons {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// run plays rounds of all living daemons.
func (f *fleet) run(d time.Duration) {
	addresses := f.addresses()
	for end := f.now + d; f.now < end; f.now += period {
		for _, address := range addresses {
			if !f.dead[address] {
				f.daemons[address].Round()
			}
		}
	}
}

// checked is the greatest number of daemons that check looks at.
const checked = 20

// check fails unless each living daemon knows the load and the names of all other living
// ones, each once. Of a large fleet it looks at some daemons only.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	living := len(f.daemons) - len(f.dead)
	for i, address := range f.addresses() {
		g := f.daemons[address]
		if f.dead[address] || i%max(1, len(f.daemons)/checked) != 0 {
			continue
		}
		f.now += aliveMemory
		sum := emptySum(Message{})
		names := map[string]int{}
		for _, m := range g.Alive() {
			sum.add(m)
			names[m.From.ID]++
		}
		is.Equal(sum.Endpoints["e"].Running, living-1)
		is.Equal(sum.Demand["m"], living-1)
		is.Equal(len(names), living-1)
		for name, n := range names {
			is.Equal(n, 1)
			is.True(name != g.options.Self.ID)
			is.Equal(sum.Endpoints["e-"+name].Running, 1)
		}
		f.now -= aliveMemory
	}
}

// Each daemon knows the load of all others, whatever their number, and sends no more
// messages as they become more. A daemon that isn't a relay sends five a second.
func TestFleetKnowsItsLoad(t *testing.T) {
	for _, c := range []struct{ daemons, domains int }{{6, 3}, {9, 3}, {64, 3}, {295, 5}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.daemons, c.domains)
			f.run(3 * time.Second)
			f.check(t)
			clear(f.sent)
			f.run(time.Second)
			busy := 0
			for _, n := range f.sent {
				is.True(n <= 10*fanout)
				if n > 5 {
					busy++
				}
			}
			is.Equal(busy, min(c.daemons, 2*c.domains)) // the relays alone
			for address, g := range f.daemons {
				f.now += aliveMemory
				announced := false
				for _, m := range g.Alive() {
					announced = announced || m.Groups["e"].Open
				}
				is.True(announced || address == f.listed["d000"].Peer)
				f.now -= aliveMemory
			}
		})
	}
}

// The first two daemons of a failure domain that have not lost the store are its relays,
// and the others share them about evenly.
func TestRelaysAreChosen(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 1)
	f.stale["d000"] = true
	f.run(rebalanceTime + 6*time.Second)
	f.check(t)
	followed := map[string]int{}
	for _, g := range f.daemons {
		followed[g.relay]++
	}
	is.Equal(followed[""], relaysPerDomain)
	is.Equal(followed["d001"]+followed["d002"], 60-relaysPerDomain)
	is.True(followed["d001"] >= 20 && followed["d002"] >= 20)
}

// One relay is left of a domain with 60 daemons. Its followers must hear it often enough
// not to take it for silent, and to become relays themselves.
func TestLastRelayIsHeard(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 1)
	f.run(3 * time.Second)
	f.dead[f.listed["d000"].Peer] = true
	delete(f.listed, "d000") // its record has lapsed
	f.stale["d001"] = true
	f.run(6 * time.Second)
	f.check(t)
	relays := 0
	for address, g := range f.daemons {
		if g.relay == "" && !f.dead[address] {
			relays++
		}
	}
	is.Equal(relays, relaysPerDomain)
}

// A relay dies. Its followers turn to the other one and the load is known again within
// three seconds.
func TestRelayDies(t *testing.T) {
	f := newFleet(64, 3)
	f.run(6 * time.Second)
	f.dead[f.listed["d000"].Peer] = true
	f.run(4 * time.Second)
	f.check(t)
}

// All relays of a domain die at once.
func TestAllRelaysOfADomainDie(t *testing.T) {
	f := newFleet(64, 3)
	f.run(6 * time.Second)
	f.dead[f.listed["d000"].Peer] = true
	f.dead[f.listed["d003"].Peer] = true
	f.run(6 * time.Second)
	f.check(t)
}

// A sum less one of its parts never has counts below 0, though the part has changed since.
func TestWithout(t *testing.T) {
	is := is.New(t)
	sum := emptySum(Message{})
	sum.add(Message{Endpoints: map[string]EndpointLoad{"a": {Running: 3, Stalled: true}}, Queues: map[string]Queue{"m": {InTime: 2, FreeRate: 1.5}}, Crashes: map[string]int{"x": 1}})
	rest := sum.without(Message{Endpoints: map[string]EndpointLoad{"a": {Running: 5}, "b": {Running: 1}}, Queues: map[string]Queue{"m": {InTime: 1, FreeRate: 2}}})
	is.Equal(rest.Endpoints, map[string]EndpointLoad{"a": {Stalled: true}})
	is.Equal(rest.Queues["m"], Queue{InTime: 1})
	is.Equal(sum.Endpoints["a"].Running, 3) // unchanged
}

// A relay works for its whole failure domain, so a small instance must not be one beside
// larger ones.
func TestSmallInstancesAreRelays(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 1)
	for _, id := range []string{"d030", "d050"} {
		d := f.listed[id]
		d.Cores = 0.8
		f.listed[id] = d
		f.add(d)
	}
	f.run(6 * time.Second)
	f.check(t)
	followed := map[string]int{}
	for _, g := range f.daemons {
		followed[g.relay]++
	}
	is.Equal(followed[""], relaysPerDomain)
	is.Equal(followed["d030"]+followed["d050"], 60-relaysPerDomain)
}
