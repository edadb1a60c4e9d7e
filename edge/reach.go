package edge

import (
	"context"
	"net/http"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/reach"
	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/site"
)

// cutOff reports whether this daemon is cut off from endpoints.
func (d *Daemon) cutOff() bool { return d.reach.State() == reach.Cut }

// relayPeers returns the daemons that requests may be sent through: those in this region
// that accept callers and reach endpoints, as far as they know.
func (d *Daemon) relayPeers() []site.Daemon {
	var peers []site.Daemon
	for _, m := range d.others().current {
		if m.Ready && !m.Cut && !m.Blind && m.From.Region == d.self.Region {
			peers = append(peers, m.From)
		}
	}
	return peers
}

// otherPaths returns what the other daemons say of their paths to endpoints.
func (d *Daemon) otherPaths() reach.Others {
	others := reach.Others{Reach: len(d.relayPeers())}
	for _, m := range d.others().current {
		if m.Ready && m.From.Region == d.self.Region && (m.Cut || m.Blind) {
			others.Cut++
		}
	}
	return others
}

// newEngines returns the calls to engines with each answer recorded. Those to orders come over
// new connections.
func (d *Daemon) newEngines(transport *reply.Transport) *platform.Engines {
	engines := platform.NewEngines(transport)
	engines.Do = noteAnswers(engines.Do, d.reach.Heard)
	engines.Order = noteAnswers(engines.Order, d.reach.Reached)
	return engines
}

// noteAnswers returns do with note called at each answer.
func noteAnswers(do func(*http.Request) (*http.Response, error), note func()) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		response, err := do(r)
		if err == nil {
			note()
		}
		return response, err
	}
}

// servePeer serves the requests that other daemons send: callers' requests that they can't
// send to endpoints, and those that others handle.
func (d *Daemon) servePeer(others http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if relay, found := platform.ParseRelay(r.Header); found {
			d.front.ServeRelayed(w, r, relay)
			return
		}
		others.ServeHTTP(w, r)
	})
}

// probedEndpoints returns the endpoints that are asked whether they are reached: the
// engines, whose reports need no slot, or all where there are none.
func (d *Daemon) probedEndpoints() []site.Endpoint {
	v := d.watcher.Snapshot()
	if v.Config == nil {
		return nil
	}
	var engines, plain []site.Endpoint
	for _, e := range v.Endpoints {
		service, known := v.Config.Services[e.Service]
		switch {
		case !known || !v.Usable(e):
		case service.Engine != nil:
			engines = append(engines, e)
		default:
			plain = append(plain, e)
		}
	}
	if len(engines) > 0 {
		return engines
	}
	return plain
}

// probe gets any answer from an endpoint over a new connection.
func (d *Daemon) probe(ctx context.Context, e site.Endpoint) error {
	path := platform.ReportPath
	if c := d.watcher.Snapshot().Config; c != nil && c.Services[e.Service].Engine == nil {
		path = c.Services[e.Service].Health
	}
	conn, err := d.pool.Get(ctx, e.Address, true)
	if err != nil {
		return err
	}
	resp, err := d.pool.Send(ctx, conn, conns.Request{Method: http.MethodGet, Target: path, Host: e.Address, Header: http.Header{}})
	if err != nil {
		return err
	}
	resp.Close()
	return nil
}
