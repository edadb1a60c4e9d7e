package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// inject carries out a plan and waits until everything is undone.
func (w *world) inject(ctx context.Context, steps []Step) {
	var all sync.WaitGroup
	for i, step := range steps {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(w.began.Add(step.At))):
			all.Go(func() { w.carryOut(i+1, step) })
		}
	}
	all.Wait()
}

// carryOut does one step and undoes it.
func (w *world) carryOut(n int, s Step) {
	at := w.note(s)
	defer w.done(at)
	switch s.Fault {
	case KillDaemon:
		w.restart(&w.daemons[s.Target].proc, syscall.SIGKILL, s.For)
	case StopDaemon:
		w.restart(&w.daemons[s.Target].proc, syscall.SIGTERM, s.For)
	case PauseDaemon:
		pause(&w.daemons[s.Target].proc, s.For)
	case Hangup:
		if w.daemons[s.Target].age() > youngest {
			w.daemons[s.Target].signal(syscall.SIGHUP)
		}
	case KillRunner:
		w.killRunner(w.runners[s.Target], s.For)
	case PauseRunner:
		pause(&w.runners[s.Target].proc, s.For)
	case StoreDown:
		w.store.SetDown(true)
		time.Sleep(s.For)
		w.store.SetDown(false)
	case StoreForgets:
		w.store.Compact()
	case StoreLoses:
		w.store.SetLosing(true)
		time.Sleep(s.For)
		w.store.SetLosing(false)
	case CutStore:
		disturb(w.daemons[s.Target].store, n, s)
	case CutCallers:
		disturb(w.daemons[s.Target].in, n, s)
	case CutRunner:
		disturb(w.runners[s.Target].path, n, s)
	case Change:
		w.change()
	}
}

// youngest is the age from which a daemon can catch signals: until its program
// runs, the kernel's default for SIGHUP ends it.
const youngest = 200 * time.Millisecond

func disturb(p *Path, n int, s Step) {
	p.Set(n, s.Cut)
	time.Sleep(s.For)
	p.Set(n, Pass)
}

func pause(p *proc, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart ends a daemon by a signal and starts it again. One that was told to
// stop is killed after its grace.
func (w *world) restart(p *proc, s syscall.Signal, down time.Duration) {
	p.signal(s)
	if !p.end(grace) {
		p.signal(syscall.SIGKILL)
		p.end(time.Second)
	}
	time.Sleep(down)
	_ = p.start() // the recovery at the end shows where it failed
}

// killRunner kills a runner; its entry goes after a while, unless it is back.
func (w *world) killRunner(r *runner, down time.Duration) {
	r.signal(syscall.SIGKILL)
	r.end(time.Second)
	time.Sleep(min(down, entryLapse))
	if down > entryLapse {
		w.store.RemoveRunner(r.name)
		time.Sleep(down - entryLapse)
	}
	_ = r.start() // as above
}

func (w *world) note(s Step) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fault{step: s, from: time.Now()})
	return len(w.faults) - 1
}

func (w *world) done(at int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[at].to = time.Now()
}

// anyone stands for all daemons or runners.
const anyone = -1

// gone reports whether a daemon that was told to stop may have taken no more
// connections at a time.
func (w *world) gone(daemon int, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.faults {
		if f.step.Fault == StopDaemon && f.step.Target == daemon && at.After(f.from.Add(listens)) && (f.to.IsZero() || at.Before(f.to.Add(settles))) {
			return true
		}
	}
	return false
}

// listens is how long a daemon that is told to stop takes connections.
const listens = 3 * time.Second

// disturbed reports whether a fault of one of the kinds touched a daemon, or all
// of them, in a time.
func (w *world) disturbed(daemon int, from, to time.Time, kinds ...Fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.faults {
		if f.from.After(to) || !f.to.IsZero() && f.to.Before(from) {
			continue
		}
		for _, k := range kinds {
			if f.step.Fault == k && (daemon == anyone || f.step.Target == daemon || k == StoreDown || k == StoreLoses || k == StoreForgets) {
				return true
			}
		}
	}
	return false
}
