package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/mimic"
)

// judge checks what callers got against what ran.
func (r *Report) judge(w *world, records []record) {
	w.mu.Lock()
	runs := map[string]int{}
	for id, n := range w.runs {
		runs[id] = n
	}
	w.mu.Unlock()
	for _, rec := range records {
		r.count(rec)
		for _, broken := range []string{once(rec, runs[rec.id]), unrun(rec, runs[rec.id]), intact(rec), answered(w, rec), drained(w, rec)} {
			if broken == "" {
				continue
			}
			at := rec.sent.Sub(w.began).Round(time.Millisecond)
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %s to d%d, %v after the start: status %d, %d runs", broken, rec.id, rec.daemon, at, rec.status, runs[rec.id]))
		}
	}
	for _, d := range w.daemons {
		if odd, code := d.ends(); odd > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("life: daemon %s ended %d times by itself, last with code %d", d.name, odd, code))
		}
	}
}

func (r *Report) count(rec record) {
	r.Requests++
	switch {
	case rec.status == http.StatusOK && !rec.cut:
		r.Served++
	case rec.status == 0 || rec.cut:
		r.Lost++
	default:
		r.Refused++
	}
}

// once: what may not be repeated runs at most once.
func once(rec record, runs int) string {
	if rec.path == "/file/" && runs > 1 {
		return "ran twice"
	}
	return ""
}

// unrun: what is said not to have run never ran.
func unrun(rec record, runs int) string {
	switch rec.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if runs > 0 {
			return "said not to have run"
		}
	}
	return ""
}

// intact: a stream has each event once and in order, and looks whole only if it
// is.
func intact(rec record) string {
	if rec.path != "/talk/" || rec.status != http.StatusOK {
		return ""
	}
	if !rec.cut && rec.body != mimic.Stream(events) {
		return "looks whole"
	}
	if !strings.HasPrefix(mimic.Stream(events), rec.body) {
		return "events missing or twice"
	}
	return ""
}

// answered: a request has an end by its deadline, unless its daemon or the path
// to it was disturbed.
func answered(w *world, rec record) string {
	late := rec.ended.Sub(rec.sent) > deadline+patience/2
	if late && !w.disturbed(rec.daemon, rec.sent.Add(-patience), rec.ended, KillDaemon, StopDaemon, PauseDaemon, CutCallers) {
		return "no end in time"
	}
	return ""
}

// drained: a request is not cut off or lost where its daemon is only told to
// stop, or nothing is disturbed.
func drained(w *world, rec record) string {
	if !rec.cut && rec.status != 0 {
		return ""
	}
	from := rec.sent.Add(-shows)
	if w.disturbed(rec.daemon, from, rec.ended, KillDaemon, PauseDaemon, CutCallers) || w.disturbed(anyone, from, rec.ended, KillRunner, PauseRunner, CutRunner) {
		return ""
	}
	if w.gone(rec.daemon, rec.sent) {
		return ""
	}
	return "cut off without a cause"
}

const (
	shows   = time.Second     // a fault may cut off a request that is sent so long after it
	settles = 4 * time.Second // a daemon that was told to stop is named so long after it is back
)

// probe looks whether configurations are in force in time and never go back, and
// whether keys that were taken away are out of use.
type probe struct {
	world  *world
	client *client
	mu     sync.Mutex
	seen   map[int]seen // by daemon
	found  []string
}

// seen is the newest version that a daemon was seen to have, and since when.
type seen struct {
	version int
	at      time.Time
}

func newProbe(w *world, c *client) *probe { return &probe{world: w, client: c, seen: map[int]seen{}} }

func (p *probe) broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.found
}

// look probes one daemon.
func (p *probe) look(n int) {
	w := p.world
	i := n % len(w.daemons)
	w.mu.Lock()
	version := w.version
	changed := w.changes[version]
	w.mu.Unlock()
	before := p.newest(i)
	now := p.client.send(w.daemons[i], fmt.Sprintf("/mark%d/", version), "")
	p.apply(i, version, changed, now)
	if before.version > 1 {
		old := p.client.send(w.daemons[i], fmt.Sprintf("/mark%d/", before.version-1), "")
		p.back(i, before, old)
	}
	if version > 1 {
		key := p.client.send(w.daemons[i], "/read/", fmt.Sprintf("key-%d", version-1))
		p.key(version, key)
	}
}

func (p *probe) newest(i int) seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[i]
}

// apply: a daemon that nothing disturbs has a configuration in force in time.
func (p *probe) apply(i, version int, changed time.Time, rec record) {
	if rec.status == http.StatusOK {
		p.mu.Lock()
		defer p.mu.Unlock()
		if version > p.seen[i].version {
			p.seen[i] = seen{version, rec.ended}
		}
		return
	}
	if rec.status != http.StatusNotFound || rec.sent.Sub(changed) < inForce || p.outdated(version) {
		return
	}
	if p.world.disturbed(i, changed.Add(-inForce), rec.ended, KillDaemon, StopDaemon, PauseDaemon, CutStore, StoreDown, StoreLoses) {
		return
	}
	p.say("version %d not in force at d%d, %v after the change", version, i, rec.sent.Sub(changed))
}

// outdated reports whether a newer configuration has come, whose routes are
// others.
func (p *probe) outdated(version int) bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return p.world.version > version
}

// back: a daemon doesn't go back to an older configuration, unless it was
// started again.
func (p *probe) back(i int, newest seen, old record) {
	if old.status == http.StatusOK && !p.world.disturbed(i, newest.at, old.ended, KillDaemon, StopDaemon) {
		p.say("d%d is back at version %d after %d", i, newest.version-1, newest.version)
	}
}

// key: a key that was taken away is out of use in time, whatever is disturbed.
func (p *probe) key(version int, rec record) {
	p.world.mu.Lock()
	taken := p.world.changes[version]
	p.world.mu.Unlock()
	if rec.status == http.StatusOK && rec.sent.Sub(taken) > revoke {
		p.say("%s served at d%d, %v after it was taken away", rec.key, rec.daemon, rec.sent.Sub(taken))
	}
}

func (p *probe) say(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.found = append(p.found, fmt.Sprintf(format, values...))
}
