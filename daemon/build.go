package daemon

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/gate"
	"clementinehead.example/chead/keeper"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/route"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// random returns a new generator. Each role has its own, since a generator is
// not safe for concurrent use.
func (d *Daemon) random() *rand.Rand {
	return rand.New(rand.NewPCG(d.options.Rand.Uint64(), d.options.Rand.Uint64()))
}

func (d *Daemon) self() *wire.Daemon {
	s := d.options.Settings
	return &wire.Daemon{
		Id:            s.ID,
		Boot:          d.options.boot(),
		PeerAddress:   s.Peer,
		CallerAddress: s.Caller,
		Domain:        s.Domain,
		Region:        s.Region,
	}
}

// buildMembership builds the roster and the relay, which depend on each other.
func (d *Daemon) buildMembership() {
	o := d.options
	d.relay = relay.New(relay.Options{
		Self:     o.Settings.ID,
		Domain:   o.Settings.Domain,
		Seeds:    o.Settings.Seeds,
		Store:    d.store,
		Daemons:  func() []*wire.Daemon { return d.roster.Daemons() },
		Client:   d.peers.relay.get,
		Log:      o.Log.WithName("relay"),
		Registry: o.Registry,
		Rand:     d.random(),
	})
	d.roster = roster.New(roster.Options{
		Self:          d.self(),
		Seeds:         o.Settings.Seeds,
		Store:         d.store,
		Client:        d.peers.roster.get,
		Digest:        d.relay.Digest,
		CompareDigest: d.relay.CompareDigest,
		Log:           o.Log.WithName("roster"),
		Registry:      o.Registry,
		Rand:          d.random(),
	})
}

// buildKeeper builds the keeper and the audit log that it writes to.
func (d *Daemon) buildKeeper() {
	o := d.options
	d.audit = audit.New(audit.Options{
		Daemon:   o.Settings.ID,
		Boot:     o.boot(),
		Store:    d.store,
		Logger:   o.Log.WithName("audit"),
		Registry: o.Registry,
	})
	orders := engine.New(d.clients.order.Do)
	d.keeper = keeper.New(keeper.Options{
		Self:     o.Settings.ID,
		Domain:   o.Settings.Domain,
		Region:   o.Settings.Region,
		Store:    d.store,
		View:     d.relay.View,
		Apply:    d.relay.Apply,
		Daemons:  d.roster.Daemons,
		Probe:    orders.Probe,
		Order:    orders.Order,
		Audit:    d.audit.Add,
		Log:      o.Log.WithName("keeper"),
		Registry: o.Registry,
		Rand:     d.random(),
	})
}

// buildGate builds the gate, and the router that orders the gates for a request.
func (d *Daemon) buildGate() {
	o := d.options
	d.gate = gate.New(gate.Options{
		Self:       o.Settings.ID,
		Boot:       o.boot(),
		View:       d.relay.View,
		Changed:    d.relay.Changed,
		Daemons:    d.roster.Daemons,
		VerifiedAt: d.relay.VerifiedAt,
		Probe:      engine.New(d.clients.probe.Do).Probe,
		Feed:       engine.New(d.clients.endpoint.Do).Feed,
		Client:     d.peers.gate.get,
		Log:        o.Log.WithName("gate"),
		Registry:   o.Registry,
		Rand:       d.random(),
	})
	d.router = route.New(route.Options{})
}

func (d *Daemon) buildUsage() {
	o := d.options
	d.tally = tally.New(tally.Boot{Daemon: o.Settings.ID, Boot: o.boot()}, o.Started)
	d.replicator = tally.NewReplicator(tally.Options{
		Self:     o.Settings.ID,
		Boot:     o.boot(),
		Domain:   o.Settings.Domain,
		Tally:    d.tally,
		Store:    d.store,
		Daemons:  d.roster.Daemons,
		Client:   d.peers.tally.get,
		Log:      o.Log.WithName("tally"),
		Registry: o.Registry,
	})
}

func (d *Daemon) buildEntry() {
	o := d.options
	d.once = once.New(once.Options{
		Self:      o.Settings.ID,
		Boot:      o.boot(),
		Store:     d.store,
		Window:    func() time.Duration { return time.Duration(d.relay.View().Document.Limits.Window) },
		OwnsShard: d.ownsShard,
	})
	d.entry = entry.New(entry.Options{
		Self:     o.Settings.ID,
		Domain:   o.Settings.Domain,
		Boot:     o.boot(),
		View:     d.relay.View,
		Daemons:  d.roster.Daemons,
		Find:     d.roster.Find,
		Interim:  d.substitutes,
		Order:    d.router.Order,
		Observe:  d.router.Observe,
		Gate:     d.gateClient,
		Ready:    d.ready,
		Engine:   d.engine,
		Plain:    d.clients.plain.Do,
		Unpooled: d.clients.singleUse.Do,
		Records:  d.once,
		Count:    d.tally.Count,
		Log:      o.Log.WithName("entry"),
		Registry: o.Registry,
		Rand:     d.random(),
	})
}

// substitutes returns the daemons that may act as interim gate of a replica.
func (d *Daemon) substitutes(location view.Location) []string {
	return gate.Substitutes(d.relay.View(), d.roster.Daemons(), location.Replica.ID)
}

// gateClient returns the client of the gate at a peer address. The gate of this
// daemon is called without the network.
func (d *Daemon) gateClient(address string) wire.GateClient {
	if address == d.options.Settings.Peer {
		return d.gate
	}
	return d.peers.gate.get(address)
}

// ownsShard reports whether this daemon is the first of the live daemons, in
// rendezvous order, for a shard of the at-most-once records.
func (d *Daemon) ownsShard(shard int) bool {
	key := "once/" + strconv.Itoa(shard)
	ranked := fleet.Rendezvous(key, "", "", fleet.Daemons(d.roster.Daemons()))
	return len(ranked) > 0 && ranked[0] == d.options.Settings.ID
}

func (d *Daemon) buildAdmin() {
	o := d.options
	d.admin = admin.New(admin.Options{
		Store:         d.store,
		Ready:         d.relay.Ready,
		Get:           d.relay.Get,
		Apply:         d.relay.Apply,
		AwaitRevision: d.relay.AwaitRevision,
		Record:        d.audit.Add,
		Read:          d.audit.Read,
		Status:        func() any { return d.Status() },
		Secret:        o.Settings.Secret,
		Log:           o.Log.WithName("admin"),
		Registry:      o.Registry,
	})
}

// compressMin is the smallest response to another daemon that is compressed, in
// bytes. Heartbeats and permits are smaller.
const compressMin = 4 << 10

// peerHandler returns the handler for requests of other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	compress := connect.WithCompressMinBytes(compressMin)
	mux.Handle(d.roster.Handler())
	mux.Handle(d.relay.Handler())
	mux.Handle(wire.NewGateHandler(d.gate, compress))
	mux.Handle(wire.NewTallyHandler(d.replicator, compress))
	return mux
}
