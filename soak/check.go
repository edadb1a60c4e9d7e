package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/simul"
)

// check compares the answers that callers got with the requests that ran, and
// adds each broken promise to the report.
func (r *Report) check(c *cluster, records []record) {
	c.mu.Lock()
	runs := map[string]int{}
	for id, n := range c.runs {
		runs[id] = n
	}
	c.mu.Unlock()
	for _, rec := range records {
		r.count(rec)
		for _, broken := range []string{checkRunsOnce(rec, runs[rec.id]), checkNotRun(rec, runs[rec.id]), checkStream(rec), checkInTime(c, rec), checkNotCut(c, rec)} {
			if broken == "" {
				continue
			}
			at := rec.sent.Sub(c.began).Round(time.Millisecond)
			r.Failures = append(r.Failures, fmt.Sprintf("%s: %s to d%d, %v after the start: status %d, %d runs", broken, rec.id, rec.daemon, at, rec.status, runs[rec.id]))
		}
	}
	for _, d := range c.daemons {
		if unexpected, code := d.unexpectedEnds(); unexpected > 0 {
			r.Failures = append(r.Failures, fmt.Sprintf("life: daemon %s ended %d times by itself, last with code %d", d.name, unexpected, code))
		}
	}
}

// count counts a request by its result.
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

// checkRunsOnce checks that a request that may not be repeated ran at most once.
func checkRunsOnce(rec record, runs int) string {
	if rec.path == "/file/" && runs > 1 {
		return "ran twice"
	}
	return ""
}

// checkNotRun checks that a request answered with a status that means "not run"
// never ran.
func checkNotRun(rec record, runs int) string {
	switch rec.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if runs > 0 {
			return "said not to have run"
		}
	}
	return ""
}

// checkStream checks that a stream has each event once and in order, and that
// its body ends normally only if it is complete.
func checkStream(rec record) string {
	if rec.path != "/talk/" || rec.status != http.StatusOK {
		return ""
	}
	if !rec.cut && rec.body != simul.StreamBody(events) {
		return "looks whole"
	}
	if !strings.HasPrefix(simul.StreamBody(events), rec.body) {
		return "events missing or twice"
	}
	return ""
}

// checkInTime checks that a request ended by its deadline, unless its daemon or
// the path to it was disturbed.
func checkInTime(c *cluster, rec record) string {
	late := rec.ended.Sub(rec.sent) > deadline+callerSlack/2
	if late && !c.disturbed(rec.daemon, rec.sent.Add(-callerSlack), rec.ended, KillDaemon, StopDaemon, PauseDaemon, CutCallers) {
		return "no end in time"
	}
	return ""
}

// checkNotCut checks that a request was not cut off or lost, unless a fault
// explains it. Stopping a daemon by SIGTERM is no excuse while the daemon still
// accepts connections.
func checkNotCut(c *cluster, rec record) string {
	if !rec.cut && rec.status != 0 {
		return ""
	}
	from := rec.sent.Add(-faultLag)
	if c.disturbed(rec.daemon, from, rec.ended, KillDaemon, PauseDaemon, CutCallers) || c.disturbed(anyTarget, from, rec.ended, KillRunner, PauseRunner, CutRunner) {
		return ""
	}
	if c.notAccepting(rec.daemon, rec.sent) {
		return ""
	}
	return "cut off without a cause"
}

const (
	faultLag   = time.Second     // a fault may cut off requests sent this long after it ended
	listingLag = 4 * time.Second // time from the restart of a stopped daemon until the directory lists it
)

// probe checks that configurations are in force in time, that daemons never go
// back to an older one, and that keys taken out of the configuration are refused
// in time.
type probe struct {
	cluster    *cluster
	client     *client
	mu         sync.Mutex
	newestSeen map[int]observation // by daemon
	violations []string
}

// observation is the newest version that a daemon was seen to have, and when
// that was first seen.
type observation struct {
	version int
	at      time.Time
}

func newProbe(c *cluster, caller *client) *probe {
	return &probe{cluster: c, client: caller, newestSeen: map[int]observation{}}
}

// broken returns the broken promises found so far.
func (p *probe) broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}

// run probes one daemon, chosen by the number of the call.
func (p *probe) run(n int) {
	c := p.cluster
	i := n % len(c.daemons)
	c.mu.Lock()
	version := c.version
	changed := c.changes[version]
	c.mu.Unlock()
	newest := p.newest(i)
	current := p.client.send(c.daemons[i], fmt.Sprintf("/mark%d/", version), "")
	p.checkApplied(i, version, changed, current)
	if newest.version > 1 {
		old := p.client.send(c.daemons[i], fmt.Sprintf("/mark%d/", newest.version-1), "")
		p.checkNoRollback(i, newest, old)
	}
	if version > 1 {
		key := p.client.send(c.daemons[i], "/read/", fmt.Sprintf("key-%d", version-1))
		p.checkRevoked(version, key)
	}
}

// newest returns the newest observation of a daemon.
func (p *probe) newest(i int) observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestSeen[i]
}

// checkApplied checks that an undisturbed daemon has a configuration in force in
// time, and records the version if it has.
func (p *probe) checkApplied(i, version int, changed time.Time, rec record) {
	if rec.status == http.StatusOK {
		p.mu.Lock()
		defer p.mu.Unlock()
		if version > p.newestSeen[i].version {
			p.newestSeen[i] = observation{version, rec.ended}
		}
		return
	}
	if rec.status != http.StatusNotFound || rec.sent.Sub(changed) < applyLimit || p.superseded(version) {
		return
	}
	if p.cluster.disturbed(i, changed.Add(-applyLimit), rec.ended, KillDaemon, StopDaemon, PauseDaemon, CutStore, StoreDown, StoreLoses) {
		return
	}
	p.report("version %d not in force at d%d, %v after the change", version, i, rec.sent.Sub(changed))
}

// superseded reports whether there is a newer configuration, which has other
// routes.
func (p *probe) superseded(version int) bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.version > version
}

// checkNoRollback checks that a daemon does not go back to an older
// configuration, unless it was restarted.
func (p *probe) checkNoRollback(i int, newest observation, old record) {
	if old.status == http.StatusOK && !p.cluster.disturbed(i, newest.at, old.ended, KillDaemon, StopDaemon) {
		p.report("d%d is back at version %d after %d", i, newest.version-1, newest.version)
	}
}

// checkRevoked checks that a key taken out of the configuration is refused in
// time, whatever is disturbed.
func (p *probe) checkRevoked(version int, rec record) {
	p.cluster.mu.Lock()
	revokedAt := p.cluster.changes[version]
	p.cluster.mu.Unlock()
	if rec.status == http.StatusOK && rec.sent.Sub(revokedAt) > revoke {
		p.report("%s served at d%d, %v after it was taken away", rec.key, rec.daemon, rec.sent.Sub(revokedAt))
	}
}

// report records a broken promise.
func (p *probe) report(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, values...))
}
