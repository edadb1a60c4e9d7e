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

// Status is what a daemon believes of the whole system and does itself.
type Status struct {
	ID        string          `json:"id"`
	Boot      uint64          `json:"boot"`
	At        time.Time       `json:"at"`
	Serial    uint64          `json:"serial"`    // of the configuration in force here
	Revision  uint64          `json:"revision"`  // of the configuration in force here
	Confirmed time.Time       `json:"confirmed"` // when the store last vouched for it
	Daemons   []*wire.Daemon  `json:"daemons"`
	Groups    []Group         `json:"groups"`
	Fabrics   []fleet.Fabric  `json:"fabrics"`
	Keeps     []keeper.Status `json:"keeps"` // fabric domains that this daemon keeps
	Gates     []gate.Status   `json:"gates"` // replicas that this daemon is the gate of
}

// Group sums up a model group.
type Group struct {
	Name    string `json:"name"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
}

// Health is the answer of /healthz and /readyz.
type Health struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Status returns the daemon's status.
func (d *Daemon) Status() Status {
	v := d.relay.View()
	status := Status{
		ID:        d.options.Settings.ID,
		Boot:      d.options.boot(),
		At:        time.Now().UTC(),
		Serial:    v.Serial,
		Revision:  v.Revision,
		Confirmed: d.relay.Confirmed().UTC(),
		Daemons:   d.roster.Daemons(),
		Keeps:     d.keeper.Status(),
		Gates:     d.gate.Status(),
	}
	for _, name := range sortedKeys(v.Document.Groups) {
		group := Group{Name: name, Wanted: v.Document.Groups[name].Replicas}
		for _, place := range v.Replicas(name) {
			if place.Replica.State == serving {
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

// readyz answers 200 once this daemon may take requests.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := d.ready(); err != nil {
		answer(w, http.StatusServiceUnavailable, Health{Reason: err.Error()})
		return
	}
	answer(w, http.StatusOK, Health{OK: true})
}

// ready returns why this daemon may not take requests, nil where it may.
func (d *Daemon) ready() error {
	switch {
	case !d.relay.Ready():
		return errors.New("no configuration known yet: neither the store nor a peer has answered")
	case !d.holder.Opened():
		return errors.New("neither the store nor a peer knows of this boot yet")
	case !d.holder.Vouched():
		return errors.New("nobody has taken this daemon's usage counts for a while")
	default:
		return nil
	}
}

func (d *Daemon) metricsHandler() http.Handler {
	return promhttp.HandlerFor(d.options.Registry, promhttp.HandlerOpts{})
}

// report answers GET /admin/v1/report?account=&from=&until= with a
// tally.Report; from and until are in RFC 3339.
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
	report, err := d.holder.Report(r.Context(), query)
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
	// A caller that went away needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
