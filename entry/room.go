package entry

import "sync/atomic"

// The bounds on what a daemon takes in at once.
const (
	maxProgress = 4096      // requests
	maxBodies   = 256 << 20 // bytes of bodies
)

// room counts what a daemon has taken in, so that a flood of callers costs it a
// bounded amount of memory.
type room struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// take reports whether there is room for another request with a body of some
// size. Give follows in either case.
func (r *room) take(size int64) bool {
	requests := r.requests.Add(1)
	bytes := r.bytes.Add(size)
	return requests <= maxProgress && bytes <= maxBodies
}

// give ends a request.
func (r *room) give(size int64) {
	r.requests.Add(-1)
	r.bytes.Add(-size)
}

// admitted returns the size that a body may have: as announced, or as much as
// the limit allows.
func admitted(announced, limit int64) int64 {
	if announced < 0 || announced > limit {
		return limit
	}
	return announced
}
