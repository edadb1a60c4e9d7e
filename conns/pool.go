package conns

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout        = 500 * time.Millisecond
	userTimeout        = 1500 * time.Millisecond // TCP_USER_TIMEOUT: limit for sent bytes to be acknowledged
	defaultIdleTimeout = 3 * time.Second         // if the endpoint sends no Keep-Alive timeout
	idleMargin         = 700 * time.Millisecond  // connections expire this long before the endpoint would close them
	readBufferSize     = 4 << 10                 // bytes
	maxIdle            = 8                       // idle connections per endpoint
)

// Dialer opens a connection to an address, host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection over IPv4. The connection fails soon after the
// other end stops acknowledging what is sent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialFrom(nil)(ctx, address)
}

// DialFrom returns a Dialer like Dial whose connections come from an address of this host;
// nil leaves it to the system.
func DialFrom(source net.IP) Dialer {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAlive: -1}
	if source != nil {
		d.LocalAddr = &net.TCPAddr{IP: source}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp4", address)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. It is a Control function of a
// net.Dialer.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(limitUnacknowledged(userTimeout))
}

// limitUnacknowledged returns a function that sets TCP_USER_TIMEOUT, 0 for none, on a socket.
func limitUnacknowledged(limit time.Duration) func(fd uintptr) {
	return func(fd uintptr) {
		// On a kernel without this option the longer default timeout applies.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	}
}

// Pool holds idle connections by address. It is safe for concurrent use. Use New
// to create one.
type Pool struct {
	dial   Dialer
	mu     sync.Mutex
	idle   map[string][]*link
	Opened atomic.Uint64 // connections opened so far
}

// New returns an empty Pool that opens connections with dial.
func New(dial Dialer) *Pool { return &Pool{dial: dial, idle: map[string][]*link{}} }

// Get returns an idle connection to an address, or opens one if there is none or
// if fresh is set. The kind of an error is Unsent.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	if !fresh {
		if l := p.take(address); l != nil {
			return newConn(l), nil
		}
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, &Error{Op: "dial", Address: address, Kind: Unsent, Err: err}
	}
	p.Opened.Add(1)
	return newConn(newLink(raw, address)), nil
}

// Probe opens and closes a connection to check that an address accepts
// connections. The kind of an error is Unsent.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.Get(ctx, address, true)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}

// take removes and returns the most recently used idle connection that can be
// reused, or returns nil. It closes those that can't be.
func (p *Pool) take(address string) *link {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		l := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Now().Before(l.expires) && l.reusable() {
			return l
		}
		_ = l.Close()
	}
}

// put returns a connection to the pool after its last response was read
// completely. It closes the connection if bytes are left unread or if the pool
// holds enough connections to the endpoint.
func (p *Pool) put(l *link, header http.Header) {
	if l.reader.Buffered() > 0 {
		_ = l.Close()
		return
	}
	l.limitAgain()
	l.served++
	l.expires = time.Now().Add(idleTimeout(header) - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[l.address]) >= maxIdle {
		_ = l.Close()
		return
	}
	p.idle[l.address] = append(p.idle[l.address], l)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		valid := list[:0]
		for _, l := range list {
			if now.Before(l.expires) {
				valid = append(valid, l)
			} else {
				_ = l.Close()
			}
		}
		if len(valid) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = valid
		}
	}
}

// idleTimeout returns how long the endpoint keeps an idle connection open, by the
// header of its response.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if v, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(v); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return defaultIdleTimeout
}
