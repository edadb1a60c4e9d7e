package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/site"
)

const (
	headerTime = 5 * time.Second  // for a request's header, until a configuration tells
	idleTime   = 60 * time.Second // between two requests of a connection, the same
)

// Idle closes callers' connections that stay idle, or begin a request and don't
// end its header, for longer than the configuration allows. It is the ConnState
// of an http.Server, whose own limits can't change while it runs. Use NewIdle.
type Idle struct {
	limits func() site.Limits
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// NewIdle returns an Idle that follows limits.
func NewIdle(limits func() site.Limits) *Idle {
	return &Idle{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// State takes a connection's change of state. A connection gets active once a
// request's header was read.
func (i *Idle) State(c net.Conn, state http.ConnState) {
	limits := i.limits()
	switch state {
	case http.StateNew:
		i.start(c, positive(limits.HeaderTime, headerTime))
	case http.StateIdle:
		i.start(c, positive(limits.Idle, idleTime))
	default:
		i.stop(c)
	}
}

func (i *Idle) start(c net.Conn, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.timers[c] = time.AfterFunc(limit, func() { _ = c.Close() }) // the server sees it closed
}

func (i *Idle) stop(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
}

func positive(v, otherwise time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return otherwise
}
