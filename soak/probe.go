package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
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
	if p.disturbed(i, changed.Add(-applyLimit), rec.ended, KillDaemon, StopDaemon, PauseDaemon, CutStore, TurnAway, StoreDown, StoreLoses) {
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

// disturbed is cluster.disturbed with the lock.
func (p *probe) disturbed(daemon int, from, to time.Time, kinds ...Fault) bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.disturbed(daemon, from, to, kinds...)
}

// checkNoRollback checks that a daemon does not go back to an older
// configuration, unless it was restarted.
func (p *probe) checkNoRollback(i int, newest observation, old record) {
	if old.status == http.StatusOK && !p.disturbed(i, newest.at, old.ended, KillDaemon, StopDaemon) {
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
