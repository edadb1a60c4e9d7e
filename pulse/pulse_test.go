package pulse

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

func TestLate(t *testing.T) {
	type reading struct {
		at   time.Duration // boot clock
		beat bool          // a beat comes then
	}
	for _, c := range []struct {
		name     string
		readings []reading
		since    time.Duration
		late     time.Duration
	}{
		{"on time", []reading{{50 * time.Millisecond, true}, {100 * time.Millisecond, true}}, 0, 0},
		{"a late beat", []reading{{450 * time.Millisecond, true}, {500 * time.Millisecond, true}}, 0, 400 * time.Millisecond},
		{"a late beat before", []reading{{450 * time.Millisecond, true}, {500 * time.Millisecond, true}}, 460 * time.Millisecond, 0},
		{"an overdue beat", []reading{{50 * time.Millisecond, true}, {300 * time.Millisecond, false}}, 250 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Duration(0)
			p := New(Options{Boot: func() time.Duration { return now }, Log: logr.Discard(), Registry: prometheus.NewRegistry()})
			p.schedule(now)
			for _, r := range c.readings {
				now = r.at
				if r.beat {
					p.record(now)
					p.schedule(now)
				}
			}
			is.Equal(p.Late(c.since), c.late)
		})
	}
}

// A process that runs late all the time must not fill the log.
func TestLateLinesAreBounded(t *testing.T) {
	is := is.New(t)
	lines := 0
	now := time.Duration(0)
	log := funcr.New(func(_, _ string) { lines++ }, funcr.Options{})
	p := New(Options{Boot: func() time.Duration { return now }, Log: log, Registry: prometheus.NewRegistry()})
	for range 20 {
		p.schedule(now)
		now += time.Second
		p.record(now)
	}
	is.Equal(lines, 4)
	is.True(len(p.late) <= 11)
}
