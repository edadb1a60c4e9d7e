package roster_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

const latency = 2 * time.Millisecond // one way

// Overheads per call beyond its messages, in bytes. TestOverhead measures those
// of a heartbeat.
const (
	requestOverhead  = 240
	responseOverhead = 100
	datedOverhead    = 180 // of responses other than to heartbeats, which carry a Date header
)

func responseSize(response proto.Message) int64 {
	if _, ok := response.(*wire.BeatResponse); ok {
		return int64(proto.Size(response) + responseOverhead)
	}
	return int64(proto.Size(response) + datedOverhead)
}

// cluster is a number of daemons that call each other's handlers directly, with
// simulated latency, loss and cut links, and that count the bytes sent.
type cluster struct {
	t       *testing.T
	store   *fakes.Store
	running sync.WaitGroup

	mu     sync.Mutex
	nodes  map[string]*node // by address
	random *rand.Rand
	loss   float64                    // fraction of calls that get no answer
	cut    func(from, to string) bool // whether calls between two addresses fail
	serial uint64                     // of the last configuration written
}

// node is one daemon with its roster and relay.
type node struct {
	cluster  *cluster
	self     *wire.Daemon
	roster   *roster.Roster
	relay    *relay.Relay
	registry *prometheus.Registry
	stop     context.CancelFunc
	dead     atomic.Bool
	bytes    atomic.Int64 // sent and received
	calls    atomic.Int64 // made
}

func newCluster(t *testing.T, seed uint64) *cluster {
	return &cluster{
		t:      t,
		store:  fakes.NewStore(),
		nodes:  map[string]*node{},
		random: rand.New(rand.NewPCG(seed, 0)),
		cut:    func(string, string) bool { return false },
	}
}

// startAll starts n daemons spread over failure domains, within two seconds.
func (c *cluster) startAll(n, domains int) []*node {
	var nodes []*node
	for i := range n {
		nodes = append(nodes, c.start(fmt.Sprintf("d%03d", i), fmt.Sprintf("domain-%02d", i%domains)))
		time.Sleep(2 * time.Second / time.Duration(n))
	}
	return nodes
}

// start runs a daemon until the test ends or the daemon is killed.
func (c *cluster) start(id, domain string) *node {
	return c.startAt(id, domain, uint64(time.Now().UnixNano()))
}

// startAt is start with a given boot time, as the daemon's clock shows it.
func (c *cluster) startAt(id, domain string, boot uint64) *node {
	address := id + ":7000"
	n := &node{cluster: c, self: &wire.Daemon{
		Id: id, Boot: boot, PeerAddress: address, CallerAddress: id + ":7001",
		Domain: domain, Region: "north",
	}}
	client := store.New("http://store", n.do)
	n.relay = relay.New(relay.Options{
		Self: id, Domain: domain, Store: client,
		Daemons: func() []*wire.Daemon { return n.roster.Daemons() },
		Client:  func(to string) wire.RelayClient { return peerClient{n, to} },
		Log:     logr.Discard(),
		Rand:    c.rand(),
	})
	n.registry = prometheus.NewRegistry()
	n.roster = roster.New(roster.Options{
		Self: n.self, Store: client, Seeds: []string{"d000:7000", "d001:7000"},
		Client:        func(to string) wire.RosterClient { return peerClient{n, to} },
		Digest:        n.relay.Digest,
		CompareDigest: n.relay.CompareDigest,
		Log:           logr.Discard(),
		Registry:      n.registry,
		Rand:          c.rand(),
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	n.stop = cancel
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	c.running.Go(func() { _ = n.roster.Run(ctx) })
	c.running.Go(func() { _ = n.relay.Run(ctx) })
	return n
}

func (c *cluster) rand() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

// kill ends a daemon abruptly: it answers no more and announces nothing.
func (n *node) kill() {
	n.dead.Store(true)
	n.stop()
}

// do sends a request to the store.
func (n *node) do(request *http.Request) (*http.Response, error) {
	if n.dead.Load() || !pause(request.Context(), latency) {
		return nil, errUnanswered
	}
	if request.Body == nil {
		request.Body = http.NoBody // as an HTTP server passes it to a handler
	}
	recorder := httptest.NewRecorder()
	if !serve(n.cluster.store, recorder, request) {
		return nil, errUnanswered
	}
	return recorder.Result(), nil
}

// serve reports whether the handler answered, that is, did not panic.
func serve(handler http.Handler, w http.ResponseWriter, request *http.Request) (answered bool) {
	defer func() {
		if recovered := recover(); recovered != nil {
			answered = false
		}
	}()
	handler.ServeHTTP(w, request)
	return true
}

var errUnanswered = errors.New("no answer")

// peerClient is the client that one daemon uses for another.
type peerClient struct {
	from *node
	to   string
}

// call carries a request to a peer and returns its response.
func call[Q, A proto.Message](ctx context.Context, l peerClient, request Q, handle func(*node, context.Context, Q) (A, error)) (A, error) {
	var none A
	c := l.from.cluster
	l.from.calls.Add(1)
	l.from.bytes.Add(int64(proto.Size(request) + requestOverhead))
	c.mu.Lock()
	target := c.nodes[l.to]
	lost := target == nil || target.dead.Load() || c.random.Float64() < c.loss || c.cut(l.from.self.PeerAddress, l.to)
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if !pause(ctx, latency) {
		return none, ctx.Err()
	}
	target.bytes.Add(int64(proto.Size(request) + requestOverhead))
	response, err := handle(target, ctx, request)
	if err != nil || target.dead.Load() || !pause(ctx, latency) {
		return none, errors.Join(err, ctx.Err(), errUnanswered)
	}
	size := responseSize(response)
	target.bytes.Add(size)
	l.from.bytes.Add(size)
	return response, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (l peerClient) Beat(ctx context.Context, q *wire.BeatRequest) (*wire.BeatResponse, error) {
	return call(ctx, l, q, func(n *node, ctx context.Context, q *wire.BeatRequest) (*wire.BeatResponse, error) {
		return n.roster.Beat(ctx, q)
	})
}

func (l peerClient) Probe(ctx context.Context, q *wire.RelayRequest) (*wire.RelayResponse, error) {
	return call(ctx, l, q, func(n *node, ctx context.Context, q *wire.RelayRequest) (*wire.RelayResponse, error) {
		return n.roster.Probe(ctx, q)
	})
}

func (l peerClient) List(ctx context.Context, q *wire.ListRequest) (*wire.ListResponse, error) {
	return call(ctx, l, q, func(n *node, ctx context.Context, q *wire.ListRequest) (*wire.ListResponse, error) {
		return n.roster.List(ctx, q)
	})
}

func (l peerClient) Push(ctx context.Context, q *wire.PushRequest) (*wire.PushResponse, error) {
	return call(ctx, l, q, func(n *node, ctx context.Context, q *wire.PushRequest) (*wire.PushResponse, error) {
		return n.relay.Push(ctx, q)
	})
}

func (l peerClient) Fetch(ctx context.Context, q *wire.FetchRequest) (*wire.FetchResponse, error) {
	return call(ctx, l, q, func(n *node, ctx context.Context, q *wire.FetchRequest) (*wire.FetchResponse, error) {
		return n.relay.Fetch(ctx, q)
	})
}

// withCluster runs a test with a cluster on a fake clock and stops all daemons
// at the end.
func withCluster(t *testing.T, seed uint64, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed)
		defer c.running.Wait()
		defer c.stopAll()
		test(t, c)
	})
}

// setCut makes calls fail between daemons for which cut returns true, in both
// directions.
func (c *cluster) setCut(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = func(from, to string) bool { return cut(from, to) || cut(to, from) }
}

func (c *cluster) setLoss(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = share
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
}

// standings counts the standings that the other live daemons have recorded for
// one daemon.
func (c *cluster) standings(id string) map[wire.Standing]int {
	counts := map[wire.Standing]int{}
	for _, n := range c.nodes {
		if n.dead.Load() || n.self.Id == id {
			continue
		}
		found, ok := n.roster.Find(id)
		if !ok {
			counts[wire.Standing_STANDING_UNSPECIFIED]++
			continue
		}
		counts[found.Standing]++
	}
	return counts
}
