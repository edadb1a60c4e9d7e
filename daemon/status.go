package daemon

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/gate"
	"clementinehead.example/chead/keeper"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/wire"
)

// Status is the state of the whole system as known to a daemon, and the state of
// its own roles.
type Status struct {
	ID        string          `json:"id"`
	Boot      uint64          `json:"boot"`
	At        time.Time       `json:"at"`
	Serial    uint64          `json:"serial"`    // serial of the configuration in force at this daemon
	Revision  uint64          `json:"revision"`  // store revision of the configuration in force at this daemon
	Confirmed time.Time       `json:"confirmed"` // when the store or a ready peer last confirmed that all documents are current
	Daemons   []*wire.Daemon  `json:"daemons"`
	Groups    []Group         `json:"groups"`
	Fabrics   []fleet.Fabric  `json:"fabrics"`
	Keepers   []keeper.Status `json:"keeps"` // fabric domains that this daemon is the keeper of
	Gates     []gate.Status   `json:"gates"` // replicas that this daemon is the gate of
}

// Group is the summary of a model group, in numbers of replicas. Serving counts
// those in state serving.
type Group struct {
	Name    string `json:"name"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
}

// Health is the response of /healthz and /readyz, and the body of an error of
// GET /admin/v1/report.
type Health struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Status returns the current status of the daemon.
func (d *Daemon) Status() Status {
	v := d.relay.View()
	status := Status{
		ID:        d.options.Settings.ID,
		Boot:      d.options.boot(),
		At:        time.Now().UTC(),
		Serial:    v.Serial,
		Revision:  v.Revision,
		Confirmed: d.relay.VerifiedAt().UTC(),
		Daemons:   d.roster.Daemons(),
		Keepers:   d.keeper.Status(),
		Gates:     d.gate.Status(),
	}
	for _, name := range sortedKeys(v.Document.Groups) {
		group := Group{Name: name, Wanted: v.Document.Groups[name].Replicas}
		for _, location := range v.Replicas(name) {
			if location.Replica.State == serving {
				group.Serving++
			}
		}
		status.Groups = append(status.Groups, group)
	}
	for _, name := range sortedKeys(v.Fabrics) {
		status.Fabrics = append(status.Fabrics, v.Fabrics[name])
	}
	return status
}

// readyz responds with 200 if this daemon may accept requests, and with 503
// otherwise.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := d.ready(); err != nil {
		answer(w, http.StatusServiceUnavailable, Health{Reason: err.Error()})
		return
	}
	answer(w, http.StatusOK, Health{OK: true})
}

// ready returns the reason why this daemon may not accept requests, or nil if it
// may.
func (d *Daemon) ready() error {
	switch {
	case !d.relay.Ready():
		return errors.New("no configuration known yet: neither the store nor a peer has answered")
	case !d.replicator.Saved():
		return errors.New("neither the store nor a peer knows of this boot yet")
	case !d.replicator.SavedRecently():
		return errors.New("nobody has taken this daemon's usage counts for a while")
	default:
		return nil
	}
}

func (d *Daemon) metricsHandler() http.Handler {
	return promhttp.HandlerFor(d.options.Registry, promhttp.HandlerOpts{})
}

// report responds to GET /admin/v1/report?account=&from=&until= with a
// tally.Report. The times from and until are in RFC 3339.
func (d *Daemon) report(w http.ResponseWriter, r *http.Request) {
	if !d.admin.Authorized(r) {
		answer(w, http.StatusUnauthorized, Health{Reason: "the operators' bearer key is missing or wrong"})
		return
	}
	query, err := parseQuery(r)
	if err != nil {
		answer(w, http.StatusBadRequest, Health{Reason: err.Error()})
		return
	}
	report, err := d.replicator.Report(r.Context(), query)
	if err != nil {
		answer(w, http.StatusServiceUnavailable, Health{Reason: err.Error()})
		return
	}
	answer(w, http.StatusOK, report)
}

func parseQuery(r *http.Request) (tally.Query, error) {
	values := r.URL.Query()
	from, err := time.Parse(time.RFC3339, values.Get("from"))
	if err != nil {
		return tally.Query{}, err
	}
	until, err := time.Parse(time.RFC3339, values.Get("until"))
	if err != nil {
		return tally.Query{}, err
	}
	return tally.Query{Account: values.Get("account"), From: from, Until: until}, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has disconnected; there is nobody to report
	// that to.
	_ = json.NewEncoder(w).Encode(body)
}
