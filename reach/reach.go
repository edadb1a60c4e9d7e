package reach

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/site"
)

// State is whether endpoints are reached. The line comments are the names in the log.
type State int

// The states. In Slow no endpoint that was asked answered, yet the daemon goes on, by an
// Evidence.
const (
	Sound State = iota // reached
	Doubt              // in doubt
	Cut                // cut off
	Slow               // slow
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=State -linecomment -output=state_string.go

const (
	period      = 100 * time.Millisecond  // between two looks
	memory      = 1500 * time.Millisecond // for which a failure counts
	suspicious  = 2                       // endpoints that fail, or that are silent while none makes progress, from which there is doubt
	probed      = 3                       // endpoints asked in a round
	doubted     = 3 * probed              // endpoints asked in doubt while all refuse
	pause       = 500 * time.Millisecond  // between two rounds while cut off or slow
	maxLate     = 200 * time.Millisecond  // lateness of the process from which a round without an answer says nothing
	soundRounds = 2                       // rounds in a row that reach endpoints, from which the daemon is no longer cut off
	slowTimeout = 1500 * time.Millisecond // limits one Options.Probe while cut off, or where endpoints answered slowly
	aloneTime   = time.Second             // for which no other daemon reaches endpoints, until one that is cut off goes on: they may not be heard for a moment
	muteLimit   = 3 * time.Second         // without a byte of endpoints, from which it says nothing that most others are cut off
	// ProbeTimeout limits one Options.Probe in doubt where endpoints answer quickly.
	ProbeTimeout = 500 * time.Millisecond
)

// Options are the dependencies of a Reach.
type Options struct {
	Boot      func() time.Duration                             // boot clock
	Late      func(since time.Duration) time.Duration          // longest time for which this process ran late since a reading of the boot clock
	Endpoints func() []site.Endpoint                           // those that may be asked
	Silence   func() (silent int, all bool)                    // endpoints that make no progress with requests of this daemon, and whether none made any lately
	Probe     func(ctx context.Context, e site.Endpoint) error // gets any answer over a new connection
	Others    func() Others                                    // what other daemons say of their paths; if nil, there is always one that reaches endpoints
	Log       logr.Logger
	Registry  prometheus.Registerer
}

// Reach holds what is known of the path to the endpoints. Use New to make one; its methods
// may be called concurrently.
type Reach struct {
	options Options
	wake    chan struct{} // holds a value while a look is due

	state    atomic.Int32 // a State; set with the lock held, read without
	evidence atomic.Int32 // an Evidence, None unless the state is Slow; set with the lock held, read without
	heard    atomic.Int64 // boot clock: when a byte of an answer came last over any connection, or the Reach was made

	mu      sync.Mutex
	since   time.Duration            // boot clock: of the state
	failed  map[string]time.Duration // endpoints that failed since one was reached, and when, on the boot clock
	reached time.Duration            // boot clock: when one was reached last over a new connection
	sound   int                      // rounds in a row that reached endpoints
	usual   time.Duration            // how long the last answer took in the latest round that got one
	alone   time.Duration            // boot clock: since when no other daemon reaches endpoints, while cut off, or 0
	settled chan struct{}            // closed unless there is doubt
}

// New returns a Reach that takes the endpoints to be reached.
func New(o Options) *Reach {
	r := &Reach{options: o, wake: make(chan struct{}, 1), failed: map[string]time.Duration{}, reached: o.Boot(), since: o.Boot(), settled: make(chan struct{})}
	close(r.settled)
	r.heard.Store(int64(r.reached))
	o.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chead_reach", Help: "Whether endpoints are reached: 0 reached, 1 in doubt, 2 cut off, 3 slow: none that was asked answered, yet the daemon goes on.",
	}, func() float64 { return float64(r.State()) }))
	for _, e := range []Evidence{Open, Alone, Many} {
		o.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chead_reach_evidence", Help: "1 if the daemon goes on by this evidence though no endpoint that was asked answered, else 0.",
			ConstLabels: prometheus.Labels{"evidence": e.String()},
		}, func() float64 {
			if r.Evidence() == e {
				return 1
			}
			return 0
		}))
	}
	return r
}

// State returns whether endpoints are reached. It waits for no lock, so that it may be
// called with the locks held that Options.Silence takes.
func (r *Reach) State() State { return State(r.state.Load()) }

// Failed records that a new connection to an endpoint was not opened, or ended before a
// byte of an answer.
func (r *Reach) Failed(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[endpoint] = r.options.Boot()
	if r.State() == Sound && r.recentFailures() >= r.needed() {
		r.doubt()
		r.wakeUp()
	}
}

// Now returns a reading of the boot clock, for Confirm.
func (r *Reach) Now() time.Duration { return r.options.Boot() }

// Confirm reports whether endpoints are reached: whether one was over a new connection
// since a reading of the boot clock or, if none was, by asking some. It waits for that.
func (r *Reach) Confirm(ctx context.Context, since time.Duration) bool {
	r.mu.Lock()
	if r.State() == Sound && r.reached < since {
		r.doubt()
		r.wakeUp()
	}
	settled := r.settled
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-settled:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.State() == Sound && r.reached >= since
}

// Reached records that an endpoint answered over a new connection.
func (r *Reach) Reached() {
	r.Heard()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached = r.options.Boot()
	clear(r.failed)
	if r.State() == Slow {
		r.log("endpoints reached again", round{}, None)
	}
	if r.State() == Doubt || r.State() == Slow {
		r.set(Sound)
	}
}

// Heard records that bytes of an answer came over any connection to an endpoint. It waits
// for no lock.
func (r *Reach) Heard() { r.heard.Store(int64(r.options.Boot())) }

// Run looks at the path until the context ends.
func (r *Reach) Run(ctx context.Context) error {
	timer := time.NewTimer(clock.UntilBeat(period))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(clock.UntilBeat(period))
		case <-r.wake:
		}
		r.look(ctx)
	}
}

// look begins to doubt if endpoints are silent and none makes progress, goes on though cut
// off if no other daemon reaches endpoints, and asks endpoints if that is due.
func (r *Reach) look(ctx context.Context) {
	silent, all := r.options.Silence()
	r.mu.Lock()
	if r.State() == Sound && silent >= suspicious && all {
		r.doubt()
	}
	if r.State() == Cut && r.isAlone() {
		r.goOn(Alone, round{})
	}
	state, since := r.State(), r.since
	r.mu.Unlock()
	if state == Sound || state != Doubt && r.options.Boot()-since < pause {
		return
	}
	r.judge(r.ask(ctx))
}

// found sets the state that endpoints are reached. The lock must be held.
func (r *Reach) found() {
	clear(r.failed)
	r.reached = r.options.Boot()
	r.set(Sound)
}

// doubt sets the state of doubt. The lock must be held.
func (r *Reach) doubt() {
	r.log("endpoints in doubt", round{}, None)
	r.set(Doubt)
}

// set sets the state. The lock must be held.
func (r *Reach) set(s State) {
	if r.State() == Doubt && s != Doubt {
		close(r.settled)
	}
	if r.State() != Doubt && s == Doubt {
		r.settled = make(chan struct{})
	}
	r.state.Store(int32(s))
	if s != Slow {
		r.evidence.Store(int32(None))
	}
	r.since = r.options.Boot()
	r.sound = 0
	r.alone = 0
}

// needed returns the number of endpoints that have to fail for a doubt. The lock must be
// held.
func (r *Reach) needed() int { return max(1, min(suspicious, len(r.options.Endpoints()))) }

// recentFailures returns the number of endpoints that failed within memory. The lock must
// be held.
func (r *Reach) recentFailures() int {
	now := r.options.Boot()
	for endpoint, at := range r.failed {
		if now-at > memory {
			delete(r.failed, endpoint)
		}
	}
	return len(r.failed)
}

// wakeUp makes Run look at once.
func (r *Reach) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// log logs a change of the state with what it rests on. The lock must be held.
func (r *Reach) log(line string, got round, why Evidence) {
	silent, all := r.options.Silence()
	now, others := r.options.Boot(), r.others()
	r.options.Log.Info(line, "before", r.State().String(), "evidence", why.String(), "failed", len(r.failed), "reached_ms", (now - r.reached).Milliseconds(),
		"heard_ms", (now - time.Duration(r.heard.Load())).Milliseconds(), "silent", silent, "all", all, "asked", got.asked, "answered", got.answered,
		"refused", got.refused, "late_ms", got.late.Milliseconds(), "others_reach", others.Reach, "others_cut", others.Cut)
}
