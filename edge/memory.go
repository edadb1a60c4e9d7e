package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/hold"
)

const (
	megabyte    = 1_000_000 // bytes
	defaultHeld = 0.25      // of the memory, since the garbage collector lets the heap grow to twice what is in use
	unknownHeld = 64        // megabytes, if the memory is not known
)

// newBook returns the account of what the daemon holds for callers and endpoints, with its
// metrics.
func newBook(s Settings, r prometheus.Registerer) *hold.Book {
	b := hold.New(hold.NewLimits(s.held()))
	hold.Register(r, b)
	return b
}

// held returns the bytes that may be held for callers and endpoints.
func (s Settings) held() int64 {
	part := s.Held
	if part == 0 {
		part = defaultHeld
	}
	if s.Memory == 0 {
		return unknownHeld * megabyte
	}
	return int64(part * float64(s.Memory) * megabyte)
}
