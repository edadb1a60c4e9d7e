package entry

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// validityMargin is the end of a permit's validity that stays unused, so that a
// permit doesn't expire while its request is sent.
const validityMargin = 50 * time.Millisecond

// permit is the right to dispatch one request to one endpoint.
type permit struct {
	location   view.Location
	gate       wire.GateClient
	number     uint64 // permit id at the gate
	fence      uint64 // fencing token that the endpoint must have
	address    string // host:port of the endpoint
	validUntil time.Time
	alone      bool // with no other request in the endpoint's batch
}

// stale reports whether a permit may no longer be used. It compares monotonic
// times.
func (p *permit) stale() bool { return time.Until(p.validUntil) < validityMargin }

// shortFingerprint returns the first 64 bits of a fingerprint, 0 for an invalid
// one.
func shortFingerprint(fingerprint string) uint64 {
	data, err := hex.DecodeString(fingerprint)
	if err != nil || len(data) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}
