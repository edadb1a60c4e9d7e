package conns

import (
	"bufio"
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
	dialLimit   = 500 * time.Millisecond
	userTimeout = 1500 * time.Millisecond // sent bytes that nobody acknowledged for so long end a connection
	idleLimit   = 3 * time.Second         // where the endpoint doesn't say how long it keeps a connection
	idleMargin  = 700 * time.Millisecond  // before the endpoint would close it
	readBuffer  = 4 << 10                 // bytes
	idleEach    = 8                       // unused connections to one endpoint
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection that does not stay open for long after its other
// end fell silent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialLimit, Control: limitSilence, KeepAlive: -1}
	return d.DialContext(ctx, "tcp4", address)
}

func limitSilence(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A kernel without the option leaves the longer default.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Pool keeps unused connections by address. Use New.
type Pool struct {
	dial   Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
	Opened atomic.Uint64 // connections made
}

// New returns an empty pool.
func New(dial Dialer) *Pool { return &Pool{dial: dial, idle: map[string][]*Conn{}} }

// Conn is one connection to an endpoint.
type Conn struct {
	net.Conn
	Address string
	reader  *bufio.Reader
	until   time.Time // no use after it
	used    bool
}

// Get returns an unused connection, or a new one. Fresh asks for a new one. The
// error is Unsent.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			return c, nil
		}
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, &Error{Op: "dial", Address: address, Kind: Unsent, Err: err}
	}
	p.Opened.Add(1)
	return &Conn{Conn: raw, Address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Reach reports whether an address takes connections. The error is Unsent.
func (p *Pool) Reach(ctx context.Context, address string) error {
	c, err := p.Get(ctx, address, true)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}

// take returns the unused connection that was used last and is still good.
func (p *Pool) take(address string) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Now().Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// put keeps a connection whose last answer was read whole.
func (p *Pool) put(c *Conn, answer http.Header) {
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.used = true
	c.until = time.Now().Add(keep(answer) - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.Address]) >= idleEach {
		_ = c.Close()
		return
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// Sweep closes unused connections whose time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// keep returns how long the endpoint keeps an unused connection.
func keep(answer http.Header) time.Duration {
	for _, part := range strings.Split(answer.Get("Keep-Alive"), ",") {
		if v, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(v); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return idleLimit
}

// quiet reports whether the connection is open with nothing unread on it.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
