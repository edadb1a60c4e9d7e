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
)

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

// Run prints one Row. The daemons end with the process: they have no callers
// whose requests a graceful end would protect.
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

func (c daemonsCommand) options(i int, t *traffic) daemon.Options {
	port := daemonPort + 3*i
	domain := i % c.Domains
	log := logr.Discard()
	if c.Trace {
		log = logr.FromSlogHandler(traceHandler(i))
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
			Seeds:    []string{address(daemonPort + 1)},
		},
		Started: time.Now(),
		Listen: func(at string) (net.Listener, error) {
			l, err := net.Listen("tcp", at)
			if err != nil || at != address(port+1) {
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

func (c daemonsCommand) measure(ctx context.Context, traffics []*traffic) (Row, error) {
	row := Row{Daemons: c.Daemons, Runners: c.Runners, Domains: c.Domains}
	if _, err := c.put(ctx, document(c.Runners, c.Domains), "begin"); err != nil {
		return row, err
	}
	if err := c.settle(ctx, &row); err != nil {
		return row, err
	}
	time.Sleep(c.Rest)
	c.span(ctx, traffics, &row)
	changed := document(c.Runners, c.Domains)
	changed.Limits.Queue = 32
	took, err := c.put(ctx, changed, "change")
	row.Force = took.Seconds()
	return row, err
}

// settle waits until all replicas serve, or for as long as it may.
func (c daemonsCommand) settle(ctx context.Context, row *Row) error {
	deadline := time.Now().Add(c.Settle)
	for {
		var status daemon.Status
		if err := c.ask(ctx, http.MethodGet, "status", nil, &status); err != nil {
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

// span measures what passes in a while.
func (c daemonsCommand) span(ctx context.Context, traffics []*traffic, row *Row) {
	calls, before, used, began := c.calls(ctx), snapshots(traffics), processorTime(), time.Now()
	time.Sleep(c.Span)
	seconds := time.Since(began).Seconds()
	n := float64(len(traffics))
	row.Seconds = seconds
	row.Core = (processorTime() - used).Seconds() / seconds / n * 100
	row.Memory = float64(resident()) / n / 1e6
	for i, after := range snapshots(traffics) {
		peer := float64(after.peer-before[i].peer) / seconds
		row.Peer += peer / n
		row.Peak = max(row.Peak, peer)
		row.Store += float64(after.store-before[i].store) / seconds / n
		row.Endpoint += float64(after.endpoint-before[i].endpoint) / seconds / n
	}
	now := c.calls(ctx)
	row.Reads = float64(now.Reads+now.Watches+now.Lists-calls.Reads-calls.Watches-calls.Lists) / seconds
	row.Writes = float64(now.Writes+now.Leases-calls.Writes-calls.Leases) / seconds
}

// snapshot is a traffic at one moment, in bytes.
type snapshot struct{ peer, store, endpoint int64 }

func snapshots(traffics []*traffic) []snapshot {
	all := make([]snapshot, len(traffics))
	for i, t := range traffics {
		all[i] = snapshot{
			peer:     t.peerSent.Load(),
			store:    t.storeSent.Load() + t.storeGot.Load(),
			endpoint: t.endpointSent.Load() + t.endpointGot.Load(),
		}
	}
	return all
}

// calls returns the store's own count, zero where it doesn't answer.
func (c daemonsCommand) calls(ctx context.Context) fakes.Counts {
	var counts fakes.Counts
	_ = call(ctx, http.MethodGet, "http://"+c.Store+"/fake/counts", nil, &counts)
	return counts
}

// put puts a document and returns how long it took until every daemon had
// confirmed it.
func (c daemonsCommand) put(ctx context.Context, d conf.Document, id string) (time.Duration, error) {
	began := time.Now()
	data, err := json.Marshal(d)
	if err != nil {
		return 0, err
	}
	var config admin.Config
	if err := c.ready(ctx, &config); err != nil {
		return 0, err
	}
	var accepted admin.Accepted
	put := admin.Put{ID: fmt.Sprintf("%s-%d", id, began.UnixNano()), Base: config.Serial, Who: "chsize", Document: data}
	if err := c.ask(ctx, http.MethodPut, "config", put, &accepted); err != nil {
		return 0, err
	}
	for len(accepted.Unconfirmed) > 0 {
		if time.Since(began) > c.Settle {
			return 0, fmt.Errorf("not confirmed after %v: %d daemons", c.Settle, len(accepted.Unconfirmed))
		}
		if err := c.ask(ctx, http.MethodGet, "edits/"+accepted.ID, nil, &accepted); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

// ready waits until the first daemon answers.
func (c daemonsCommand) ready(ctx context.Context, config *admin.Config) error {
	deadline := time.Now().Add(c.Settle)
	for {
		err := c.ask(ctx, http.MethodGet, "config", nil, config)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ask calls the first daemon as an operator does.
func (c daemonsCommand) ask(ctx context.Context, method, path string, in, out any) error {
	return call(ctx, method, "http://"+address(daemonPort+2)+"/admin/v1/"+path, in, out)
}

func call(ctx context.Context, method, url string, in, out any) error {
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
	response, err := http.DefaultClient.Do(request)
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
