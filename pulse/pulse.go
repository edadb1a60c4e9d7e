package pulse

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/clock"
)

const (
	period      = 50 * time.Millisecond  // between two beats
	least       = 10 * time.Millisecond  // a beat that is less late counts as on time
	memory      = 10 * time.Second       // for which a late beat is remembered
	logFrom     = 300 * time.Millisecond // least lateness that is logged
	logInterval = 5 * time.Second        // least time between two log lines
)

// Options are the dependencies of a Pulse.
type Options struct {
	Boot     func() time.Duration // boot clock
	Log      logr.Logger
	Registry prometheus.Registerer
}

// Pulse records the beats that came late. Use New to make one; its methods may be
// called concurrently.
type Pulse struct {
	options Options

	mu      sync.Mutex
	next    time.Duration // boot clock: when the next beat is due, 0 before Run
	late    []beat        // late beats within memory, oldest first
	nextLog time.Duration // boot clock: no line before then
}

// beat is a beat that came late.
type beat struct {
	at   time.Duration // boot clock
	late time.Duration
}

// New returns a Pulse that measures nothing before Run.
func New(o Options) *Pulse {
	p := &Pulse{options: o}
	o.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chead_late_seconds", Help: "Longest time in the last 10 s for which this process ran late.",
	}, func() float64 { return p.Late(o.Boot() - memory).Seconds() }))
	return p
}

// Run measures until the context ends.
func (p *Pulse) Run(ctx context.Context) error {
	timer := time.NewTimer(period)
	defer timer.Stop()
	p.schedule(p.options.Boot())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := p.options.Boot()
		p.record(now)
		p.schedule(now)
		timer.Reset(max(period-least, clock.UntilBeat(period))) // back to the beat by steps that count as on time
	}
}

// schedule sets the next beat, from a reading of the boot clock.
func (p *Pulse) schedule(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = now + period
}

// record records a beat.
func (p *Pulse) record(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := now - p.next
	if late < least {
		return
	}
	for len(p.late) > 0 && now-p.late[0].at > memory {
		p.late = p.late[1:]
	}
	p.late = append(p.late, beat{now, late})
	if late >= logFrom && now >= p.nextLog {
		p.nextLog = now + logInterval
		p.options.Log.Info("process ran late", "late_ms", late.Milliseconds())
	}
}

// Late returns the longest time for which the process ran late since a reading of the
// boot clock, including the beat that is overdue now.
func (p *Pulse) Late(since time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	if p.next != 0 {
		longest = max(0, p.options.Boot()-p.next)
	}
	for i := len(p.late) - 1; i >= 0 && p.late[i].at >= since; i-- {
		longest = max(longest, p.late[i].late)
	}
	if longest < least {
		return 0
	}
	return longest
}
