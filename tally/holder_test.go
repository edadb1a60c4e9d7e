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

// The cases that the properties draw.
const (
	seed   = "20261203"
	checks = "100"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: seed, Checks: checks}) }

// action is one step of a random history.
type action struct {
	what   string
	daemon int
	pause  time.Duration
}

func actions() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			what:   rapid.SampledFrom([]string{"answer", "answer", "answer", "kill", "down", "up", "lose", "close"}).Draw(t, "what"),
			daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
			pause:  time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 25)
}

// answer is a request that a caller had answered.
type answer struct {
	boot Boot
	at   time.Time
}

// fleet is three daemons' tallies on an in-memory network, with the callers'
// own count of what they were answered.
type fleet struct {
	network *fakes.Network
	store   *fakes.Store
	answers []answer

	mutex   sync.Mutex // of daemons, which holders read as their roster
	daemons [3]*member
}

func (f *fleet) set(i int, m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.daemons[i] = m
}

type member struct {
	id     string
	boot   uint64
	tally  *Tally
	holder *Holder
	killed bool
	cancel context.CancelFunc
	done   chan struct{}
}

func newFleet() *fleet {
	f := &fleet{network: fakes.NewNetwork(), store: fakes.NewStore()}
	f.network.Serve("store:80", f.store)
	for i := range f.daemons {
		f.start(i)
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) start(i int) {
	now := time.Now()
	m := &member{id: fmt.Sprintf("d%d", i), boot: uint64(now.UnixNano()), done: make(chan struct{})}
	client := f.network.Client(m.id)
	m.tally = New(Boot{m.id, m.boot}, now)
	m.holder = NewHolder(Options{
		Self:     m.id,
		Boot:     m.boot,
		Domain:   m.id,
		Tally:    m.tally,
		Store:    store.New("http://store:80", client.Do),
		Daemons:  f.roster,
		Client:   func(address string) wire.TallyClient { return link{f, m, address} },
		Log:      logr.Discard(),
		Registry: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = m.holder.Run(ctx)
	}()
	f.set(i, m)
}

func (f *fleet) roster() []*wire.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var daemons []*wire.Daemon
	for _, m := range f.daemons {
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

// stop ends a daemon: a killed one says nothing more.
func (f *fleet) stop(i int, kill bool) {
	m := f.daemons[i]
	if kill {
		f.network.Kill(m.id)
		f.kill(m)
	}
	m.cancel()
	<-m.done
}

func (f *fleet) kill(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.killed = true
}

// link calls the holder at a peer address. Nothing passes to or from a killed
// daemon.
type link struct {
	fleet *fleet
	from  *member
	to    string
}

func (l link) holder() (*Holder, error) {
	l.fleet.mutex.Lock()
	defer l.fleet.mutex.Unlock()
	for _, m := range l.fleet.daemons {
		if m != nil && !m.killed && !l.from.killed && m.id == l.to {
			return m.holder, nil
		}
	}
	return nil, errors.New("no connection")
}

func (l link) Hold(ctx context.Context, request *wire.HoldRequest) (*wire.HoldResponse, error) {
	holder, err := l.holder()
	if err != nil {
		return nil, err
	}
	return holder.Hold(ctx, proto.CloneOf(request))
}

func (l link) Collect(ctx context.Context, request *wire.CollectRequest) (*wire.CollectResponse, error) {
	holder, err := l.holder()
	if err != nil {
		return nil, err
	}
	return holder.Collect(ctx, proto.CloneOf(request))
}

func (f *fleet) apply(a action) {
	m := f.daemons[a.daemon]
	switch a.what {
	case "answer":
		if m.holder.Opened() && m.holder.Vouched() {
			now := time.Now()
			m.tally.Count(sample("guild", now))
			f.answers = append(f.answers, answer{Boot{m.id, m.boot}, now})
		}
	case "kill", "close":
		f.stop(a.daemon, a.what == "kill")
		f.set(a.daemon, nil)
		time.Sleep(10 * time.Second)
		f.start(a.daemon)
	case "down":
		f.store.Down(true)
	case "up":
		f.store.Down(false)
	case "lose":
		f.store.LoseAnswers(2)
	}
	time.Sleep(a.pause)
}

// check compares the report with the callers' own count.
func (f *fleet) check(begin time.Time) error {
	f.store.Down(false)
	f.store.LoseAnswers(0)
	time.Sleep(2 * flushEvery)
	report, err := f.daemons[0].holder.Report(context.Background(), Query{From: begin, Until: time.Now()})
	if err != nil {
		return err
	}
	var reported int
	for _, row := range report.Rows {
		reported += int(row.Requests)
	}
	excused := 0
	for _, a := range f.answers {
		for _, gap := range report.Gaps {
			if gap.Daemon == a.boot.Daemon && gap.Boot == a.boot.Boot && !a.at.Before(gap.From) && !a.at.After(gap.Until) {
				excused++
			}
		}
	}
	if reported > len(f.answers) || reported < len(f.answers)-excused {
		return fmt.Errorf("callers were answered %d times, %d in gaps, and the report says %d; gaps %v",
			len(f.answers), excused, reported, report.Gaps)
	}
	return nil
}

func (f *fleet) close() {
	for i := range f.daemons {
		f.stop(i, false)
	}
	f.network.Close()
}

// TestReportEqualsCallersCount kills and restarts daemons, takes the store
// down and loses its answers: what callers counted stands in the report or
// inside a gap that it states.
func TestReportEqualsCallersCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := actions().Draw(rt, "history")
		var fault error
		synctest.Test(t, func(*testing.T) {
			begin := time.Now()
			f := newFleet()
			defer f.close()
			for _, a := range history {
				f.apply(a)
			}
			fault = f.check(begin)
		})
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}
