package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// inject carries out the steps of a plan at their times and waits until all are
// undone. Once ctx has ended, the remaining steps are skipped.
func (c *cluster) inject(ctx context.Context, steps []Step) {
	var running sync.WaitGroup
	for i, step := range steps {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(c.began.Add(step.At))):
			running.Go(func() { c.apply(i+1, step) })
		}
	}
	running.Wait()
}

// apply carries out one step and undoes it. The number n identifies the step among
// those that disturb the same path.
func (c *cluster) apply(n int, s Step) {
	index := c.beginFault(s)
	defer c.endFault(index)
	switch s.Fault {
	case KillDaemon:
		c.restart(&c.daemons[s.Target].proc, syscall.SIGKILL, s.For)
	case StopDaemon:
		time.AfterFunc(unreadyLimit, func() { c.checkUnready(index, c.daemons[s.Target]) })
		c.replaceBuild(c.daemons[s.Target])
		c.restart(&c.daemons[s.Target].proc, syscall.SIGTERM, s.For)
	case PauseDaemon:
		pause(&c.daemons[s.Target].proc, s.For)
	case Hangup:
		if c.daemons[s.Target].age() > minSignalAge {
			c.daemons[s.Target].signal(syscall.SIGHUP)
		}
	case KillRunner:
		c.killRunner(c.runners[s.Target], s.For)
	case PauseRunner:
		pause(&c.runners[s.Target].proc, s.For)
	case StoreDown:
		c.store.SetDown(true)
		time.Sleep(s.For)
		c.store.SetDown(false)
	case StoreForgets:
		c.store.Compact()
	case StoreLoses:
		c.store.SetLoseAnswers(true)
		time.Sleep(s.For)
		c.store.SetLoseAnswers(false)
	case TurnAway:
		c.daemons[s.Target].access.SetDown(true)
		time.Sleep(s.For)
		c.daemons[s.Target].access.SetDown(false)
	case CutStore:
		cutPath(c.daemons[s.Target].store, n, s)
	case CutCallers:
		cutPath(c.daemons[s.Target].callers, n, s)
	case CutRunner:
		cutPath(c.runners[s.Target].path, n, s)
	case CutEndpoints:
		c.cutEndpoints(n, s)
	case Change:
		c.change()
	case StopAgain:
		if d := c.daemons[s.Target]; d.isStopping() {
			d.signal(syscall.SIGTERM)
		}
	case Rewrite:
		c.rewrite(c.daemons[s.Target])
	}
}

// minSignalAge is the age of a process from which a daemon is taken to handle signals.
// Before it has installed its handler, SIGHUP ends it.
const minSignalAge = 200 * time.Millisecond

// cutPath disturbs a path for the duration of a step. The number n identifies the step.
func cutPath(p *Path, n int, s Step) {
	p.Set(n, s.Cut)
	time.Sleep(s.For)
	p.Set(n, Pass)
}

// pause stops a process for a time.
func pause(p *proc, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart ends a daemon by a signal and starts it again after the downtime. A
// daemon that does not end within the grace period is killed.
func (c *cluster) restart(p *proc, s syscall.Signal, down time.Duration) {
	p.signal(s)
	if !p.awaitEnd(grace) {
		p.signal(syscall.SIGKILL)
		p.awaitEnd(time.Second)
	}
	time.Sleep(down)
	_ = p.start() // the check of recovery at the end detects a failure
}

// killRunner kills a runner and starts it again after the downtime. Once the runner
// has been dead for entryTTL, killRunner removes its entry from the store, as the
// platform does.
func (c *cluster) killRunner(r *runner, down time.Duration) {
	r.signal(syscall.SIGKILL)
	r.awaitEnd(time.Second)
	c.startAgain(r, down)
}

// startAgain starts a runner that has ended again after the downtime. Once it has been
// dead for entryTTL, its entry is removed from the store.
func (c *cluster) startAgain(r *runner, down time.Duration) {
	time.Sleep(min(down, entryTTL))
	if down > entryTTL {
		c.store.RemoveRunner(r.name)
		time.Sleep(down - entryTTL)
	}
	_ = r.start() // the check of recovery at the end detects a failure
}

// beginFault records the start of a step and returns its index.
func (c *cluster) beginFault(s Step) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, faultSpan{step: s, from: time.Now()})
	c.logFault("begins", s)
	return len(c.faults) - 1
}

// endFault records the end of the step with an index.
func (c *cluster) endFault(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[index].to = time.Now()
	c.logFault("has ended", c.faults[index].step)
}

// logFault writes a line to the soak's own log, with the time as daemons log it.
func (c *cluster) logFault(what string, s Step) {
	_, _ = fmt.Fprintln(c.log, time.Now().UTC().Format(time.RFC3339Nano), s.Fault, s.Target, s.Cut, what) // a line missing from the log is no failure
}

// disturbed reports whether a fault of one of the kinds affected a daemon within
// a time span. A fault of the store affects all daemons. For the faults of runners the
// target is that of a runner. The caller holds the lock.
func (c *cluster) disturbed(target int, from, to time.Time, kinds ...Fault) bool {
	for _, f := range c.faults {
		if f.from.After(to) || !f.to.IsZero() && f.to.Before(from) {
			continue
		}
		for _, k := range kinds {
			if f.step.Fault == k && (f.step.Target == target || k == StoreDown || k == StoreLoses || k == StoreForgets) {
				return true
			}
		}
	}
	return false
}
