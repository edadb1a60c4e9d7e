package entry

import "sync"

// loads counts this daemon's calls in progress to each address of the plain
// services.
type loads struct {
	mu    sync.Mutex
	calls map[string]int
}

func newLoads() *loads { return &loads{calls: map[string]int{}} }

// start counts a call to the address with the fewest calls, the first of
// several, unless all have reached the limit. A call of done must follow.
func (l *loads) start(addresses []string, limit int) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := ""
	for _, address := range addresses {
		if l.calls[address] < limit && (best == "" || l.calls[address] < l.calls[best]) {
			best = address
		}
	}
	if best == "" {
		return "", false
	}
	l.calls[best]++
	return best, true
}

// done ends a call that start counted.
func (l *loads) done(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[address]--
	if l.calls[address] == 0 {
		delete(l.calls, address)
	}
}
