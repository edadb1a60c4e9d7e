package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/simul"
)

const (
	crashingPart  = "c0ffee"               // of the prompts that crash endpoints
	crashesFrom   = 3 * time.Second        // from the start of the load until they come
	crashInterval = 120 * time.Millisecond // between two of them
	minRestart    = 2 * time.Second        // from a crash until the endpoint is back
	maxRestart    = 4 * time.Second
	enoughCrashes = 5  // after which, and contact, requests with the part may hardly reach endpoints
	crashSlack    = 3  // requests that may nevertheless
	enoughSound   = 20 // sound requests before and after, for a comparison
)

// soundPrompt returns the parts of the prompt of a sound request: one of three first
// parts, and one of its own.
func soundPrompt(n int) string { return fmt.Sprintf("f%d:40,e%x:9", n%3, n) }

// crashingPrompt returns the parts of the prompt of a request that crashes endpoints. The
// part that does is the second or third of them.
func crashingPrompt(n int) string {
	if n%2 == 0 {
		return fmt.Sprintf("f%d:40,%s:40,e%x:9", n%3, crashingPart, n)
	}
	return fmt.Sprintf("f%d:40,d%d:20,%s:40,e%x:9", n%3, n%5, crashingPart, n)
}

// awaitEnd waits until a time, or the end of the context.
func awaitEnd(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}

// runCrashes sends requests that crash endpoints and restarts these, until the context
// ends and all are back.
func runCrashes(ctx context.Context, c *client) {
	var watchers sync.WaitGroup
	for i := range c.cluster.runners {
		watchers.Go(func() { c.cluster.restartCrashed(ctx, i) })
	}
	awaitEnd(ctx, c.cluster.began.Add(crashesFrom))
	every(ctx, crashInterval, func(n int) {
		path := []string{talkPath, tellPath}[n%2]
		rec := c.begin(c.pick(n), path, "good-key")
		rec.prompt = crashingPrompt(n)
		rec.crashes = true
		c.exchange(c.cluster.daemons[rec.daemon], &rec)
		c.finish(rec)
	})
	watchers.Wait()
}

// Times of the looks at an endpoint: between two, and from its end to the look that
// notices it at the most.
const (
	crashPoll   = 10 * time.Millisecond
	crashNotice = 200 * time.Millisecond
)

// restartCrashed starts an endpoint again each time that it has ended by itself, some time
// later. Its entry is removed from the store meanwhile. The crash counts as a fault of the
// endpoint.
func (c *cluster) restartCrashed(ctx context.Context, index int) {
	r := c.runners[index]
	chances := rand.New(rand.NewPCG(c.options.Seed, uint64(index)))
	for seen := 0; ctx.Err() == nil; time.Sleep(crashPoll) {
		ended, _ := r.unexpectedEnds()
		if ended == seen {
			continue
		}
		seen = ended
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		fault := c.beginFault(Step{Fault: KillRunner, Target: index})
		c.backdate(fault, crashNotice)
		c.startAgain(r, between(chances, minRestart, maxRestart))
		c.endFault(fault)
	}
}

// backdate lets a fault begin earlier.
func (c *cluster) backdate(fault int, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[fault].from = c.faults[fault].from.Add(-by)
}

// checkCrashes checks what became of requests that crash endpoints, and of sound ones
// beside them.
func (c *cluster) checkCrashes(records []record) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) == 0 {
		return nil
	}
	last := c.crashes[min(enoughCrashes, len(c.crashes))-1]
	var broken []string
	if late := c.sentOn(records, last.Add(contact)); len(c.crashes) >= enoughCrashes && len(late) > crashSlack {
		broken = append(broken, fmt.Sprintf("BUDGET: %d requests with a part that crashes endpoints reached them later than %v after the fifth crash, of %d: %v", len(late), contact, len(c.crashes), late))
	}
	begunBefore, before := c.begun(records, c.began, c.crashes[0])
	begunAfter, after := c.begun(records, last.Add(2*contact), c.began.Add(c.options.Length))
	if before >= enoughSound && after >= enoughSound && 2*begunAfter*before < begunBefore*after {
		broken = append(broken, fmt.Sprintf("LOST: of sound requests beside crashes %d of %d began, %d of %d before", begunAfter, after, begunBefore, before))
	}
	return broken
}

// sentOn returns the requests that crash endpoints and reached one later than a time, from
// a daemon that was not disturbed.
func (c *cluster) sentOn(records []record, after time.Time) []string {
	var ids []string
	for _, rec := range records {
		if !rec.crashes {
			continue
		}
		for _, a := range newEvidence(c, rec.id).acts {
			if a.Deed == simul.Ran && a.Time().After(after) && c.inTouch(rec.daemon, a.Time(), a.Time()) {
				ids = append(ids, rec.id)
			}
		}
	}
	return ids
}

// begun returns how many sound streams sent within a span to daemons that were not
// disturbed got an answer that began, and how many there were.
func (c *cluster) begun(records []record, from, to time.Time) (begun, all int) {
	for _, rec := range records {
		if rec.crashes || !routes[rec.path].stream || rec.sent.Before(from) || rec.sent.After(to) || !c.inTouch(rec.daemon, rec.sent, rec.ended) {
			continue
		}
		all++
		if rec.status == http.StatusOK {
			begun++
		}
	}
	return begun, all
}

// inTouch reports whether a daemon was not disturbed within a span, nor within contact
// before it.
func (c *cluster) inTouch(daemon int, from, to time.Time) bool {
	return !c.disturbed(daemon, from.Add(-contact), to, KillDaemon, StopDaemon, PauseDaemon, CutCallers, CutStore, TurnAway, StoreDown, StoreLoses)
}
