package soak

import (
	"fmt"
	"net/http"
	"time"

	"clementinehead.example/chead/reply"
)

// unreadyLimit is the time after SIGTERM from which a daemon may not say that it is
// ready.
const unreadyLimit = 4 * time.Second

// checkUnready checks that a daemon that was stopped by the fault with an index is
// not ready, unless it has ended and been started again. The path to it is direct.
func (c *cluster) checkUnready(index int, d *daemon) {
	if !d.isStopping() {
		return
	}
	response, err := (&http.Client{Transport: reply.Default.Transport, Timeout: time.Second}).Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return
	}
	_ = response.Body.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.StatusCode == http.StatusOK && c.faults[index].to.IsZero() {
		c.violations = append(c.violations, fmt.Sprintf("DRAIN: daemon %s is ready %v after SIGTERM", d.name, unreadyLimit))
	}
}
