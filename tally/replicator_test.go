package tally

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// The seed and the number of cases of the property tests.
const (
	seed   = "20261203"
	checks = "100"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: seed, Checks: checks}) }

// action is one step of a random history, followed by a pause.
type action struct {
	kind   string
	daemon int
	pause  time.Duration
}

func actions() *rapid.Generator[[]action] {
	drawAction := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom([]string{"answer", "answer", "answer", "kill", "down", "up", "lose", "close"}).Draw(t, "kind"),
			daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
			pause:  time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(drawAction, 1, 25)
}

// answer is a request that was answered to a caller.
type answer struct {
	boot Boot
	at   time.Time
}

// cluster is the usage counting of three daemons on an in-memory network, and the
// callers' own record of the answers.
type cluster struct {
	network *fakes.Network
	store   *fakes.Store
	answers []answer

	mutex   sync.Mutex // guards daemons, which all holders read
	daemons [3]*testDaemon
}

func (c *cluster) set(i int, m *testDaemon) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.daemons[i] = m
}

type testDaemon struct {
	id         string
	boot       uint64
	tally      *Tally
	replicator *Replicator
	killed     bool
	cancel     context.CancelFunc
	done       chan struct{}
}

func newCluster() *cluster {
	c := &cluster{network: fakes.NewNetwork(), store: fakes.NewStore()}
	c.network.Serve("store:80", c.store)
	for i := range c.daemons {
		c.start(i)
	}
	time.Sleep(5 * time.Second)
	return c
}

func (c *cluster) start(i int) {
	now := time.Now()
	m := &testDaemon{id: fmt.Sprintf("d%d", i), boot: uint64(now.UnixNano()), done: make(chan struct{})}
	client := c.network.Client(m.id)
	m.tally = New(Boot{m.id, m.boot}, now)
	m.replicator = NewReplicator(Options{
		Self:     m.id,
		Boot:     m.boot,
		Domain:   m.id,
		Tally:    m.tally,
		Store:    store.New("http://store:80", client.Do),
		Daemons:  c.roster,
		Client:   func(address string) wire.TallyClient { return peerClient{c, m, address} },
		Log:      logr.Discard(),
		Registry: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = m.replicator.Run(ctx)
	}()
	c.set(i, m)
}

func (c *cluster) roster() []*wire.Daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var daemons []*wire.Daemon
	for _, m := range c.daemons {
		if m == nil {
			continue
		}
		daemons = append(daemons, &wire.Daemon{
			Id: m.id, Boot: m.boot, Domain: m.id, PeerAddress: m.id,
			Standing: wire.Standing_STANDING_ALIVE,
		})
	}
	return daemons
}

// stop ends a daemon. A killed daemon sends nothing more.
func (c *cluster) stop(i int, kill bool) {
	m := c.daemons[i]
	if kill {
		c.network.Kill(m.id)
		c.kill(m)
	}
	m.cancel()
	<-m.done
}

func (c *cluster) kill(m *testDaemon) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m.killed = true
}

// peerClient calls the Replicator at a peer address. Calls to or from a killed daemon
// fail.
type peerClient struct {
	cluster *cluster
	from    *testDaemon
	to      string
}

func (p peerClient) replicator() (*Replicator, error) {
	p.cluster.mutex.Lock()
	defer p.cluster.mutex.Unlock()
	for _, m := range p.cluster.daemons {
		if m != nil && !m.killed && !p.from.killed && m.id == p.to {
			return m.replicator, nil
		}
	}
	return nil, errors.New("no connection")
}

func (p peerClient) Hold(ctx context.Context, request *wire.HoldRequest) (*wire.HoldResponse, error) {
	replicator, err := p.replicator()
	if err != nil {
		return nil, err
	}
	return replicator.Hold(ctx, proto.CloneOf(request))
}

func (p peerClient) Collect(ctx context.Context, request *wire.CollectRequest) (*wire.CollectResponse, error) {
	replicator, err := p.replicator()
	if err != nil {
		return nil, err
	}
	return replicator.Collect(ctx, proto.CloneOf(request))
}

func (c *cluster) apply(a action) {
	m := c.daemons[a.daemon]
	switch a.kind {
	case "answer":
		if m.replicator.Saved() && m.replicator.SavedRecently() {
			now := time.Now()
			m.tally.Count(sample("guild", now))
			c.answers = append(c.answers, answer{Boot{m.id, m.boot}, now})
		}
	case "kill", "close":
		c.stop(a.daemon, a.kind == "kill")
		c.set(a.daemon, nil)
		time.Sleep(10 * time.Second)
		c.start(a.daemon)
	case "down":
		c.store.Down(true)
	case "up":
		c.store.Down(false)
	case "lose":
		c.store.LoseAnswers(2)
	}
	time.Sleep(a.pause)
}

// check compares the report with the callers' own record.
func (c *cluster) check(begin time.Time) error {
	c.store.Down(false)
	c.store.LoseAnswers(0)
	time.Sleep(2 * flushInterval)
	report, err := c.daemons[0].replicator.Report(context.Background(), Query{From: begin, Until: time.Now()})
	if err != nil {
		return err
	}
	var reported int
	for _, row := range report.Rows {
		reported += int(row.Requests)
	}
	inGaps := 0
	for _, a := range c.answers {
		for _, gap := range report.Gaps {
			if gap.Daemon == a.boot.Daemon && gap.Boot == a.boot.Boot && !a.at.Before(gap.From) && !a.at.After(gap.Until) {
				inGaps++
			}
		}
	}
	if reported > len(c.answers) || reported < len(c.answers)-inGaps {
		return fmt.Errorf("callers were answered %d times, %d in gaps, and the report says %d; gaps %v",
			len(c.answers), inGaps, reported, report.Gaps)
	}
	return nil
}

func (c *cluster) close() {
	for i := range c.daemons {
		c.stop(i, false)
	}
	c.network.Close()
}

// TestReportEqualsCallersCount guards against lost or doubled counts when daemons
// crash and restart, the store is down and its answers are lost: each answer that a
// caller received is in the report or inside a gap that the report states.
func TestReportEqualsCallersCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := actions().Draw(rt, "history")
		var violation error
		synctest.Test(t, func(*testing.T) {
			begin := time.Now()
			c := newCluster()
			defer c.close()
			for _, a := range history {
				c.apply(a)
			}
			violation = c.check(begin)
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
