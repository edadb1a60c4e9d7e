package entry

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// validSpare is the part of a permit's validity that is not used.
const validSpare = 50 * time.Millisecond

// permit is the right to dispatch one request to one endpoint.
type permit struct {
	place  view.Place
	gate   wire.GateClient
	number uint64
	fence  uint64
	target string // host:port of the endpoint
	until  time.Time
	alone  bool
}

// stale reports whether a permit may no longer be used. The times compared are
// monotonic.
func (p *permit) stale() bool { return time.Until(p.until) < validSpare }

// short returns the first 64 bits of a fingerprint.
func short(fingerprint string) uint64 {
	data, err := hex.DecodeString(fingerprint)
	if err != nil || len(data) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}
