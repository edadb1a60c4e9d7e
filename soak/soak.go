package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Report is what a soak found.
type Report struct {
	Seed     uint64
	Steps    []Step
	Requests int
	Served   int
	Refused  int
	Lost     int      // without an answer, or cut
	Broken   []string // promises, with the request or daemon
}

const (
	talkEach  = 50 * time.Millisecond
	fileEach  = 40 * time.Millisecond
	probeEach = 150 * time.Millisecond
	finalTry  = 300 * time.Millisecond
)

// Run runs one soak. The error means that the promises were not tried.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Seed: o.Seed, Steps: Plan(o.Seed, o.Length, o.Daemons, o.Runners)}
	w, err := newWorld(o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return report, err
	}
	c := newClient(w)
	if err := w.ready(c); err != nil {
		return report, err
	}
	w.began = time.Now()
	load, stop := context.WithCancel(ctx)
	var senders sync.WaitGroup
	p := newProbe(w, c)
	senders.Go(func() { every(load, talkEach, func(n int) { c.talk(c.pick(n)) }) })
	senders.Go(func() { every(load, fileEach, func(n int) { c.send(c.pick(n), "/file/", "good-key") }) })
	senders.Go(func() { every(load, probeEach, p.look) })
	w.inject(ctx, report.Steps)
	stop()
	senders.Wait()
	report.Broken = append(report.Broken, w.recovers(c)...)
	report.Broken = append(report.Broken, p.broken()...)
	report.judge(w, c.records())
	return report, nil
}

// every calls a function in a goroutine of its own at each interval, and waits
// for all calls.
func every(ctx context.Context, interval time.Duration, call func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return
		case <-ticker.C:
			calls.Go(func() { call(n) })
		}
	}
}

// recovers waits until each daemon serves each kind of request again.
func (w *world) recovers(c *client) []string {
	end := time.Now().Add(recovery)
	var mu sync.Mutex
	var broken []string
	var tries sync.WaitGroup
	for i, d := range w.daemons {
		for _, path := range []string{"/talk/", "/file/", "/read/"} {
			tries.Go(func() {
				for time.Now().Before(end) {
					if c.insist(d, path) {
						return
					}
					time.Sleep(finalTry)
				}
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("recovery: daemon d%d doesn't serve %s %v after the last fault", i, path, recovery))
			})
		}
	}
	tries.Wait()
	return broken
}
