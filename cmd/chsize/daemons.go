package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/daemon"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
)

// daemonsCommand holds the flags of "chsize daemons". The world is the process
// "chsize world", which runs the store and the endpoints.
type daemonsCommand struct {
	Daemons int           `default:"9" help:"Daemons."`
	Runners int           `default:"60" help:"Endpoints of the world."`
	Domains int           `default:"3" help:"Failure domains of the world."`
	Store   string        `default:"127.0.0.1:19000" help:"Address of the world's store."`
	Settle  time.Duration `default:"60s" help:"Longest wait for all replicas to serve."`
	Rest    time.Duration `default:"15s" help:"Wait after that."`
	Span    time.Duration `default:"20s" help:"Time that is measured."`
	Trace   bool          `help:"Write the daemons' logs to standard error."`
}

// Run runs the daemons, measures, and prints one Row as JSON. The daemons are not
// shut down gracefully, as they have no callers whose requests could be cut off.
func (c daemonsCommand) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	traffics := make([]*traffic, c.Daemons)
	for i := range c.Daemons {
		traffics[i] = &traffic{}
		d, err := daemon.New(c.options(i, traffics[i]))
		if err != nil {
			return err
		}
		group.Go(func() error { return d.Run(ctx) })
	}
	row, err := c.measure(ctx, traffics)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(row)
}

// options returns the options of the ith daemon, which counts its traffic in t. Each
// daemon uses three ports: for callers, peers and operators.
func (c daemonsCommand) options(i int, t *traffic) daemon.Options {
	port := firstDaemonPort + 3*i
	domain := i % c.Domains
	log := logr.Discard()
	if c.Trace {
		log = logr.FromSlogHandler(logHandler(i))
	}
	return daemon.Options{
		Settings: conf.Settings{
			ID:       fmt.Sprintf("daemon-%03d", i),
			Domain:   domainName(domain),
			Region:   regionOf(domain),
			Caller:   address(port),
			Peer:     address(port + 1),
			Operator: address(port + 2),
			Store:    "http://" + c.Store,
			Platform: "http://" + c.Store,
			Seeds:    []string{address(firstDaemonPort + 1)},
		},
		Started: time.Now(),
		Listen: func(listenAddress string) (net.Listener, error) {
			l, err := net.Listen("tcp", listenAddress)
			if err != nil || listenAddress != address(port+1) {
				return l, err
			}
			return listener{l, t}, nil
		},
		Dial:     t.dial(c.Store),
		Log:      log,
		Registry: prometheus.NewRegistry(),
		Rand:     rand.New(rand.NewPCG(uint64(i), uint64(c.Daemons))),
	}
}

// measure puts a configuration in force, waits until its replicas serve, measures for
// a time span and then measures how long an edit takes.
func (c daemonsCommand) measure(ctx context.Context, traffics []*traffic) (Row, error) {
	row := Row{Daemons: c.Daemons, Runners: c.Runners, Domains: c.Domains}
	if _, err := c.put(ctx, document(c.Runners, c.Domains), "begin"); err != nil {
		return row, err
	}
	if err := c.waitServing(ctx, &row); err != nil {
		return row, err
	}
	time.Sleep(c.Rest)
	c.measureSpan(ctx, traffics, &row)
	changed := document(c.Runners, c.Domains)
	changed.Limits.Queue = 32
	elapsed, err := c.put(ctx, changed, "change")
	row.Force = elapsed.Seconds()
	return row, err
}

// waitServing waits until all replicas serve, but no longer than c.Settle, and records
// their number.
func (c daemonsCommand) waitServing(ctx context.Context, row *Row) error {
	deadline := time.Now().Add(c.Settle)
	for {
		var status daemon.Status
		if err := c.callDaemon(ctx, http.MethodGet, "status", nil, &status); err != nil {
			return err
		}
		row.Serving, row.Wanted = 0, 0
		for _, group := range status.Groups {
			row.Serving += group.Serving
			row.Wanted += group.Wanted
		}
		if row.Serving == row.Wanted || time.Now().After(deadline) {
			return nil
		}
		time.Sleep(time.Second)
	}
}

// measureSpan records processor time, memory, traffic and store calls over c.Span.
func (c daemonsCommand) measureSpan(ctx context.Context, traffics []*traffic, row *Row) {
	callsBefore, before, cpuBefore, start := c.storeCalls(ctx), snapshots(traffics), cpuTime(), time.Now()
	time.Sleep(c.Span)
	seconds := time.Since(start).Seconds()
	n := float64(len(traffics))
	row.Seconds = seconds
	row.Core = (cpuTime() - cpuBefore).Seconds() / seconds / n * 100
	row.Memory = float64(residentMemory()) / n / 1e6
	for i, after := range snapshots(traffics) {
		peer := float64(after.peer-before[i].peer) / seconds
		row.Peer += peer / n
		row.Peak = max(row.Peak, peer)
		row.Store += float64(after.store-before[i].store) / seconds / n
		row.Endpoint += float64(after.endpoint-before[i].endpoint) / seconds / n
	}
	callsAfter := c.storeCalls(ctx)
	row.Reads = float64(callsAfter.Reads+callsAfter.Watches+callsAfter.Lists-callsBefore.Reads-callsBefore.Watches-callsBefore.Lists) / seconds
	row.Writes = float64(callsAfter.Writes+callsAfter.Leases-callsBefore.Writes-callsBefore.Leases) / seconds
}

// snapshot holds the counts of one daemon's traffic at one time, in bytes.
type snapshot struct{ peer, store, endpoint int64 }

// snapshots returns the present counts of each daemon's traffic.
func snapshots(traffics []*traffic) []snapshot {
	all := make([]snapshot, len(traffics))
	for i, t := range traffics {
		all[i] = snapshot{
			peer:     t.peerSent.Load(),
			store:    t.storeSent.Load() + t.storeReceived.Load(),
			endpoint: t.endpointSent.Load() + t.endpointReceived.Load(),
		}
	}
	return all
}

// storeCalls returns the number of calls that the store has counted, or zero counts
// if it does not answer.
func (c daemonsCommand) storeCalls(ctx context.Context) fakes.Counts {
	var counts fakes.Counts
	_ = callJSON(ctx, http.MethodGet, "http://"+c.Store+"/fake/counts", nil, &counts)
	return counts
}

// put puts a document in force and returns the time from the call until every daemon
// had confirmed it, including the wait for the first daemon. It returns an error if
// that takes longer than c.Settle.
func (c daemonsCommand) put(ctx context.Context, d conf.Document, id string) (time.Duration, error) {
	start := time.Now()
	data, err := json.Marshal(d)
	if err != nil {
		return 0, err
	}
	var config admin.Config
	if err := c.waitReady(ctx, &config); err != nil {
		return 0, err
	}
	var accepted admin.Accepted
	put := admin.Put{ID: fmt.Sprintf("%s-%d", id, start.UnixNano()), Base: config.Serial, Who: "chsize", Document: data}
	if err := c.callDaemon(ctx, http.MethodPut, "config", put, &accepted); err != nil {
		return 0, err
	}
	for len(accepted.Unconfirmed) > 0 {
		if time.Since(start) > c.Settle {
			return 0, fmt.Errorf("not confirmed after %v: %d daemons", c.Settle, len(accepted.Unconfirmed))
		}
		if err := c.callDaemon(ctx, http.MethodGet, "edits/"+accepted.ID, nil, &accepted); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// waitReady waits until the first daemon answers with its configuration, and decodes
// that into config. After c.Settle it returns the error of the last call.
func (c daemonsCommand) waitReady(ctx context.Context, config *admin.Config) error {
	deadline := time.Now().Add(c.Settle)
	for {
		err := c.callDaemon(ctx, http.MethodGet, "config", nil, config)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// callDaemon calls the operators' interface of the first daemon.
func (c daemonsCommand) callDaemon(ctx context.Context, method, path string, in, out any) error {
	return callJSON(ctx, method, "http://"+address(firstDaemonPort+2)+"/admin/v1/"+path, in, out)
}

// callJSON sends in as JSON, or no body if in is nil, and decodes the answer into out.
// A status other than 2xx is an error.
func callJSON(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	response, err := reply.Default.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %s", method, url, response.Status, strings.TrimSpace(string(data)))
	}
	return json.Unmarshal(data, out)
}
