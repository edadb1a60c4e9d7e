package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	lateShare  = 3                      // one seed of the profile Cuts in so many has endpoints that accept connections slowly
	slowPeriod = 700 * time.Millisecond // in which these accept once
	cutLine    = `"msg":"cut off from endpoints"`
)

// slowEndpoints reports whether the endpoints accept connections slowly during the load.
func (o Options) slowEndpoints() bool { return o.Profile.traits().cuts && o.Seed%lateShare == 0 }

// slowDown makes all endpoints accept connections slowly, from now on.
func (c *cluster) slowDown() {
	for _, r := range c.runners {
		r.path.Slow(slowPeriod)
	}
}

// begin records that the load begins.
func (c *cluster) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = time.Now()
}

// checkSound checks that a daemon whose log has a line says only if it is so, or was within
// contact, that it is cut off from endpoints.
func (c *cluster) checkSound(daemon int, line string) {
	if !strings.Contains(line, cutLine) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.began.IsZero() && !c.disturbed(daemon, now.Add(-contact), now, CutEndpoints) {
		c.violations = append(c.violations, fmt.Sprintf("SOUND: d%d calls itself cut off, %v after the start", daemon, now.Sub(c.began)))
	}
}
