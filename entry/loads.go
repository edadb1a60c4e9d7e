package entry

import "sync"

// loads counts this daemon's calls in progress to each address of the plain
// services.
type loads struct {
	mu    sync.Mutex
	calls map[string]int
}

func newLoads() *loads { return &loads{calls: map[string]int{}} }

// take counts a call to the least loaded of the addresses, the first of equals,
// unless all have reached the limit.
func (l *loads) take(addresses []string, limit int) (string, bool) {
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

// give ends a call.
func (l *loads) give(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[address]--
	if l.calls[address] == 0 {
		delete(l.calls, address)
	}
}
