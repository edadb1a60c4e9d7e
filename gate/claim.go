package gate

import "time"

// claim is the right of a gate to give permits under one fencing token.
type claim struct {
	fence      uint64
	agreed     time.Time // when all members were first seen with the fencing token, or zero
	held       bool      // the wait for the previous gate is over, or was not needed
	lastHeld   time.Time // last time at which all members confirmed a held claim, of this fencing token or an earlier one
	lastFence  uint64    // fencing token of the claim at lastHeld
	namedFence uint64    // fencing token with which this gate had been named at lastHeld, 0 for unknown
}

// restart begins a new claim unless the fencing token is the present one.
// lastHeld, lastFence and namedFence keep the state of the old claim.
func (c *claim) restart(fence uint64) {
	if fence == c.fence {
		return
	}
	c.fence = fence
	c.agreed = time.Time{}
	c.held = false
}

// drop ends the claim because another daemon is the gate.
func (c *claim) drop() {
	c.agreed = time.Time{}
	c.held = false
}

// forget ends the claim and drops its history, because another gate may have
// held a claim at the same time.
func (c *claim) forget() {
	c.drop()
	c.lastHeld = time.Time{}
	c.namedFence = 0
}

// setAgreed records that all members report the fencing token. The claim is
// held at once if this gate held it so recently that no other gate can have
// held one since, or held it under the same naming, so that no other gate was
// named since.
func (c *claim) setAgreed(now time.Time, namedFence uint64) {
	if !c.agreed.IsZero() {
		return
	}
	c.agreed = now
	c.held = c.held || c.recent(now) || (namedFence != 0 && namedFence == c.namedFence)
}

// recent reports whether the claim was held so recently that no other gate can
// have obtained one since, not even a gate that relies on probes from before
// members had the new fencing token.
func (c *claim) recent(now time.Time) bool { return c.remaining(now) > 0 }

// remaining returns the time for which recent stays true.
func (c *claim) remaining(now time.Time) time.Duration {
	if c.lastHeld.IsZero() {
		return 0
	}
	return ClaimWait - ProbeValidity - now.Sub(c.lastHeld)
}

// waitOver reports whether the wait for the previous gate is over.
func (c *claim) waitOver(now time.Time) bool {
	return !c.agreed.IsZero() && now.Sub(c.agreed) >= ClaimWait
}

// confirm records that all members reported the fencing token at a moment when
// the claim was held.
func (c *claim) confirm(moment time.Time, namedFence uint64) {
	c.lastHeld = moment
	c.lastFence = c.fence
	c.namedFence = namedFence
}
