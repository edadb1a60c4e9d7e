package entry

import "sync/atomic"

// Limits on the requests that a daemon has in progress.
const (
	maxRequests  = 4096
	maxBodyBytes = 256 << 20 // of their bodies together
)

// capacity counts the requests in progress and the bytes reserved for their
// bodies, so that a flood of requests can't exhaust the daemon's memory.
type capacity struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// reserve counts a request with a body of size bytes and reports whether it is
// within the limits. A call of release must follow in either case.
func (c *capacity) reserve(size int64) bool {
	requests := c.requests.Add(1)
	bytes := c.bytes.Add(size)
	return requests <= maxRequests && bytes <= maxBodyBytes
}

// release takes a request out of the count.
func (c *capacity) release(size int64) {
	c.requests.Add(-1)
	c.bytes.Add(-size)
}

// bodySize returns the bytes to reserve for a body: its announced length, or
// the limit where that is unknown or larger.
func bodySize(announced, limit int64) int64 {
	if announced < 0 || announced > limit {
		return limit
	}
	return announced
}
