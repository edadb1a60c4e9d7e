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

	roster     *roster.Roster
	relay      *relay.Relay
	audit      *audit.Log
	keeper     *keeper.Keeper
	gate       *gate.Gate
	router     *route.Router
	once       *once.Ledger
	replicator *tally.Replicator
	tally      *tally.Tally
	entry      *entry.Entry
	admin      *admin.Admin
}

// New returns a daemon that does not listen until Run is called. The error is of
// kind Setting.
func New(o Options) (*Daemon, error) {
	if o.Settings.ID == "" {
		o.Settings.ID = o.Settings.Caller
	}
	d := &Daemon{options: o, clients: newClients(o)}
	d.peers = newPeers(d.clients.peer)
	d.store = store.New(o.Settings.Store, d.clients.store.Do)
	d.store.Platform = o.Settings.Platform
	// An idle connection may have stopped transferring data; a new connection
	// costs a round trip.
	d.engine = engine.New(d.clients.singleUse.Do)
	d.buildMembership()
	d.buildKeeper()
	d.buildGate()
	d.buildUsage()
	d.buildEntry()
	d.buildAdmin()
	return d, nil
}

// Run serves until the context ends, and then shuts down gracefully: requests in
// progress can complete within their limits. It returns the error of the first
// role that fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.clients.close()
	callers, peer, operator, err := d.listeners()
	if err != nil {
		return err
	}
	d.options.Log.Info("daemon starts", "caller", d.options.Settings.Caller, "boot", d.options.boot(), "build", d.options.Build)
	roles, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, roles := errgroup.WithContext(roles)
	for _, run := range d.roles() {
		group.Go(func() error { return roleError(run(roles)) })
	}
	group.Go(func() error { return peer.run(roles) })
	group.Go(func() error { return operator.run(roles) })
	group.Go(func() error { return roleError(d.entry.Serve(callers)) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			d.shutDown(roles)
			operator.stop(editTimeout) // an edit in progress needs the roles
		case <-roles.Done():
			_ = callers.Close()
		}
		return nil
	})
	err = group.Wait()
	d.options.Log.Info("daemon stops")
	return err
}

// roles returns the functions that run as long as the daemon does.
func (d *Daemon) roles() []func(context.Context) error {
	return []func(context.Context) error{
		d.roster.Run,
		d.relay.Run,
		d.audit.Run,
		d.keeper.Run,
		d.gate.Run,
		d.once.Run,
		d.replicator.Run,
		d.reportRevision,
	}
}

// roleError wraps the error of a role. It returns nil if the role succeeded or
// was canceled.
func roleError(err error) error {
	if err == nil || err == context.Canceled {
		return nil
	}
	return &Error{Op: "run", Kind: Role, Err: err}
}

func (d *Daemon) listeners() (callers net.Listener, peer, operator *server, err error) {
	callers, err = d.options.Listen(d.options.Settings.Caller)
	if err != nil {
		return nil, nil, nil, &Error{Op: "listen caller", Kind: Address, Err: err}
	}
	peer, err = d.listen("peer", d.options.Settings.Peer, d.peerHandler(), peerProtocols())
	if err != nil {
		return nil, nil, nil, err
	}
	operator, err = d.listen("operator", d.options.Settings.Operator, d.operatorHandler(), nil)
	return callers, peer, operator, err
}

// reportRevision keeps the roster informed of the revision of the configuration
// in force at this daemon.
func (d *Daemon) reportRevision(ctx context.Context) error {
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

// The limits of a graceful shutdown.
const (
	shutdownMargin  = time.Minute      // beyond the limits of requests, for the records and releases behind the last answer
	handoverTimeout = 10 * time.Second // for other daemons to take over the gates
	handoverPoll    = 50 * time.Millisecond
)

// shutDown informs the peers, shuts down the callers' interface, and waits until
// other daemons have taken over the gates.
func (d *Daemon) shutDown(ctx context.Context) {
	d.options.Log.Info("daemon leaves")
	d.roster.Leave()
	ctx, cancel := context.WithTimeout(ctx, d.shutdownTimeout())
	defer cancel()
	if err := d.entry.Shutdown(ctx); err != nil {
		d.options.Log.Error(err, "requests cut off")
	}
	d.handOver(ctx)
}

// shutdownTimeout returns the time in which every request has ended that is accepted
// until the daemon stops listening.
func (d *Daemon) shutdownTimeout() time.Duration {
	limits := d.relay.View().Document.Limits
	return time.Duration(limits.Entries+limits.Request) + shutdownMargin
}

func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	check := time.NewTicker(handoverPoll)
	defer check.Stop()
	for d.isGate() {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
	}
}

// isGate reports whether this daemon is still the gate of any replica.
func (d *Daemon) isGate() bool {
	for _, fabric := range d.relay.View().Fabrics {
		for _, replica := range fabric.Replicas {
			if replica.Gate == d.options.Settings.ID {
				return true
			}
		}
	}
	return false
}

// operatorHandler returns the handler for operators, metrics collection and
// health checks.
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
