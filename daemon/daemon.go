package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/gate"
	"clementinehead.example/chead/keeper"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/route"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/tally"
)

// Daemon is one daemon with all its roles.
type Daemon struct {
	options Options
	clients clients
	peers   peers
	store   *store.Client
	engine  *engine.Client

	roster *roster.Roster
	relay  *relay.Relay
	trail  *audit.Trail
	keeper *keeper.Keeper
	gate   *gate.Gate
	router *route.Router
	once   *once.Book
	holder *tally.Holder
	tally  *tally.Tally
	entry  *entry.Entry
	admin  *admin.Admin
}

// New returns a daemon that listens to nobody before Run. The error is of kind
// Setting.
func New(o Options) (*Daemon, error) {
	if o.Settings.ID == "" {
		o.Settings.ID = o.Settings.Caller
	}
	d := &Daemon{options: o, clients: newClients(o)}
	d.peers = newPeers(d.clients.peer)
	d.store = store.New(o.Settings.Store, d.clients.store.Do)
	d.store.Platform = o.Settings.Platform
	// Unused connections may have gone silent; a new one costs a round trip.
	d.engine = engine.New(d.clients.fresh.Do)
	d.buildMembership()
	d.buildKeeper()
	d.buildGate()
	d.buildUsage()
	d.buildEntry()
	d.buildAdmin()
	return d, nil
}

// Run serves until the context ends, then leaves without cutting off a request
// in progress. It returns the error of the first role that fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.clients.close()
	callers, servers, err := d.listeners()
	if err != nil {
		return err
	}
	d.options.Log.Info("daemon starts", "caller", d.options.Settings.Caller, "boot", d.options.boot())
	roles, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, roles := errgroup.WithContext(roles)
	for _, run := range d.roles() {
		group.Go(func() error { return failure(run(roles)) })
	}
	for _, s := range servers {
		group.Go(func() error { return s.run(roles) })
	}
	group.Go(func() error { return failure(d.entry.Serve(callers)) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			d.leave(roles)
		case <-roles.Done():
			_ = callers.Close()
		}
		return nil
	})
	err = group.Wait()
	d.options.Log.Info("daemon stops")
	return err
}

// roles are what runs for as long as the daemon does.
func (d *Daemon) roles() []func(context.Context) error {
	return []func(context.Context) error{
		d.roster.Run,
		d.relay.Run,
		d.trail.Run,
		d.keeper.Run,
		d.gate.Run,
		d.once.Run,
		d.holder.Run,
		d.follow,
	}
}

// failure passes over an end that was asked for.
func failure(err error) error {
	if err == nil || err == context.Canceled {
		return nil
	}
	return &Error{Op: "run", Kind: Role, Err: err}
}

func (d *Daemon) listeners() (net.Listener, []*server, error) {
	callers, err := d.options.Listen(d.options.Settings.Caller)
	if err != nil {
		return nil, nil, &Error{Op: "listen caller", Kind: Address, Err: err}
	}
	peer, err := d.listen("peer", d.options.Settings.Peer, d.peerHandler(), peerProtocols())
	if err != nil {
		return nil, nil, err
	}
	operator, err := d.listen("operator", d.options.Settings.Operator, d.operatorHandler(), nil)
	if err != nil {
		return nil, nil, err
	}
	return callers, []*server{peer, operator}, nil
}

// follow tells the roster which configuration is in force here, and how much
// is in progress.
func (d *Daemon) follow(ctx context.Context) error {
	for {
		changed := d.relay.Changed()
		d.roster.SetApplied(d.relay.View().Revision)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// The limits of leaving.
const (
	leaveLimit    = 10 * time.Minute // for requests in progress
	handoverLimit = 10 * time.Second // for gates to be taken over
	handoverCheck = 50 * time.Millisecond
)

// leave tells the peers, ends the callers' interface, and waits until other
// daemons have the gates.
func (d *Daemon) leave(ctx context.Context) {
	d.options.Log.Info("daemon leaves")
	d.roster.Leave()
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := d.entry.Shutdown(ctx); err != nil {
		d.options.Log.Error(err, "requests cut off")
	}
	d.handOver(ctx)
}

func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	check := time.NewTicker(handoverCheck)
	defer check.Stop()
	for d.named() {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
	}
}

// named reports whether this daemon is still the gate of a replica.
func (d *Daemon) named() bool {
	for _, fabric := range d.relay.View().Fabrics {
		for _, replica := range fabric.Replicas {
			if replica.Gate == d.options.Settings.ID {
				return true
			}
		}
	}
	return false
}

// operatorHandler serves operators and the collectors of metrics.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/v1/", d.admin)
	mux.HandleFunc("GET /admin/v1/report", d.report)
	mux.Handle("GET /metrics", d.metricsHandler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, Health{OK: true})
	})
	mux.HandleFunc("GET /readyz", d.readyz)
	return mux
}
