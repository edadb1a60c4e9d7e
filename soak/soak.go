package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Report is the result of a soak.
type Report struct {
	Seed     uint64
	Steps    []Step
	Requests int
	Served   int
	Refused  int
	Lost     int            // without an answer, or cut off
	Excused  map[string]int // of those lost, by excuse, empty for none
	Crashes  int            // of endpoints, at a prompt
	Limited  int            // spans in which an endpoint stated a limit
	Upgraded int            // daemons whose old build was replaced by the present one
	Cuts     int            // of daemons from all endpoints, compared with the others
	Retried  int            // most retries of a service within the budget's window, in the profile Storms
	Failures []string       // broken promises, each with the request or daemon
}

const (
	probeInterval    = 150 * time.Millisecond
	recoveryInterval = 300 * time.Millisecond
)

// Run runs one soak. An error means that the promises were not tested.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Seed: o.Seed, Steps: o.plan()}
	c, err := newCluster(o)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return report, err
	}
	caller := newClient(c)
	if err := c.ready(caller); err != nil {
		return report, err
	}
	if o.slowEndpoints() {
		c.slowDown()
	}
	c.begin()
	load, stop := context.WithCancel(ctx)
	var senders sync.WaitGroup
	p := newProbe(c, caller)
	senders.Go(func() {
		every(load, c.interval(c.traits.streamInterval), func(n int) { caller.sendStream(caller.pick(n)) })
	})
	senders.Go(func() {
		every(load, c.interval(c.traits.fileInterval), func(n int) { caller.send(caller.pick(n), filePath, "good-key") })
	})
	senders.Go(func() { every(load, probeInterval, p.run) })
	if c.traits.kept {
		senders.Go(func() { runKept(load, caller) })
	}
	if c.traits.crashes {
		senders.Go(func() { runCrashes(load, caller) })
	}
	c.inject(ctx, report.Steps)
	awaitEnd(ctx, c.began.Add(o.Length))
	stop()
	senders.Wait()
	report.Failures = append(report.Failures, c.checkRecovery(caller)...)
	report.Crashes = len(c.crashes)
	report.Failures = append(report.Failures, p.broken()...)
	report.check(c, caller.records())
	report.Failures = append(report.Failures, c.checkCrashes(caller.records())...)
	report.Failures = append(report.Failures, c.checkLimits(caller.records())...)
	report.Limited = c.limited
	report.Upgraded = c.upgraded
	report.Failures = append(report.Failures, c.checkCuts(caller.records())...)
	report.Cuts = c.compared
	report.Failures = append(report.Failures, c.checkBudget(caller.records())...)
	report.Retried = c.retried
	return report, nil
}

// every calls a function in a new goroutine at each interval until ctx ends, and
// waits for all calls.
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

// checkRecovery waits until each daemon serves each kind of request again. It
// returns the ones that don't within the time for recovery.
func (c *cluster) checkRecovery(caller *client) []string {
	limit := time.Now().Add(recovery)
	var mu sync.Mutex
	var broken []string
	var tries sync.WaitGroup
	for i, d := range c.daemons {
		for _, path := range []string{talkPath, filePath, readPath} {
			tries.Go(func() {
				for time.Now().Before(limit) {
					if caller.sendUntilServed(d, path) {
						return
					}
					time.Sleep(recoveryInterval)
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
