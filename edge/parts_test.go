package edge

import (
	"testing"
	"time"

	"clementinehead.example/chead/gossip"
)

// All daemons end, and with them what they know of parts of prompts that crash endpoints.
// One that starts afterwards must refuse these, or they crash endpoints once more.
func TestRefusedPartIsForgottenWithTheDaemons(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	c := newCluster(t, 2, 1)
	old := c.started[0]
	old.parts.Update(map[string]gossip.PromptPart{"bad": {Refused: 300}})
	await(t, "the part is recorded", 10*time.Second, func() bool {
		_, stored := old.watcher.Snapshot().Parts["bad"]
		return stored
	})
	c.cancels[0]()
	c.running.Wait()
	c.startDaemon(t, 1)
	await(t, "the part is refused again", 5*time.Second, func() bool {
		return c.started[1].parts.Refused([]string{"bad"}) == "bad"
	})
}
