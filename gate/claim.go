package gate

import "time"

// claim is a gate's right to give permits under one fencing number.
type claim struct {
	fence uint64
	whole time.Time // when all members were first seen with the fence
	held  bool      // the wait is over, or was not needed
	last  time.Time // when a held claim last stood, of this fence or one before
	prior uint64    // the fence under which it last stood
	named uint64    // the fence under which this gate was named when it last stood, 0 for unknown
}

// renew begins a claim for another fencing number. The claim before is
// remembered in last.
func (c *claim) renew(fence uint64) {
	if fence == c.fence {
		return
	}
	c.fence = fence
	c.whole = time.Time{}
	c.held = false
}

// drop gives the claim up, because another daemon is named.
func (c *claim) drop() {
	c.whole = time.Time{}
	c.held = false
}

// doubt gives the claim up because another gate may have stood beside it.
func (c *claim) doubt() {
	c.drop()
	c.last = time.Time{}
	c.named = 0
}

// see notes that all members report the fence. The claim is held at once when
// this gate stood so lately that no other can have stood in between, or when
// it stood under the same naming and so no other was named since.
func (c *claim) see(now time.Time, named uint64) {
	if !c.whole.IsZero() {
		return
	}
	c.whole = now
	c.held = c.held || c.recent(now) || (named != 0 && named == c.named)
}

// recent reports whether the claim stood so lately that no other gate can have
// come to hold one since, even one that goes by its last probes.
func (c *claim) recent(now time.Time) bool { return c.left(now) > 0 }

// left returns for how long recent will hold.
func (c *claim) left(now time.Time) time.Duration {
	if c.last.IsZero() {
		return 0
	}
	return ClaimWait - ProbeFresh - now.Sub(c.last)
}

// due reports whether the wait for the gate before is over.
func (c *claim) due(now time.Time) bool {
	return !c.whole.IsZero() && now.Sub(c.whole) >= ClaimWait
}

// stand notes that all members reported the fence, at a moment at which the
// claim was held.
func (c *claim) stand(moment time.Time, named uint64) {
	c.last = moment
	c.prior = c.fence
	c.named = named
}
