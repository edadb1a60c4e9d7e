package conns

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"clementinehead.example/chead/reply"
)

// Conn is the right to use a connection to an endpoint for one request. It ends when
// the connection returns to the pool, from where another request may take it. Conn is
// safe for concurrent use.
type Conn struct {
	Address string
	Served  int // requests that the connection carried before
	link    *link
	mu      sync.Mutex
	ended   bool // the connection was closed or returned to the pool
}

// newConn returns the right to use a link that no other Conn has.
func newConn(l *link) *Conn { return &Conn{Address: l.address, Served: l.served, link: l} }

// Close closes the connection, which ends the request on it. It has no effect once the
// connection has returned to the pool.
func (c *Conn) Close() error {
	if !c.end() {
		return nil
	}
	return c.link.Close()
}

// end ends the right to use the connection. It reports false if that had ended before.
func (c *Conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.ended
	c.ended = true
	return !ended
}

// link is a connection to an endpoint, which carries one request at a time.
type link struct {
	*reply.Conn
	address string
	reader  *bufio.Reader
	served  int       // requests that it has carried
	expires time.Time // no reuse after this time
	inHead  bool      // a response's head is being read
	head    int       // bytes that may still be read meanwhile
	lifted  bool      // userTimeout doesn't apply
}

// newLink returns a link over a new connection.
func newLink(c net.Conn, address string) *link {
	l := &link{Conn: reply.NewConn(c), address: address}
	l.reader = bufio.NewReaderSize(l, readBufferSize)
	return l
}

// maxHead is the size limit in bytes of a response's head, with the informational ones
// before it, to within readBufferSize.
const maxHead = 64 << 10

var errHeadTooLarge = errors.New("response's head too large")

// beginHead limits what may be read until endHead.
func (l *link) beginHead() {
	l.inHead = true
	l.head = maxHead
}

func (l *link) endHead() { l.inHead = false }

// Read reads from the connection. It fails once the head of a response is too large.
func (l *link) Read(p []byte) (int, error) {
	if l.inHead && l.head <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Conn.Read(p)
	l.head -= n
	return n, err
}

// reusable reports whether the connection is open and has no unread bytes.
func (l *link) reusable() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	raw := l.raw()
	if raw == nil {
		return false
	}
	empty := false
	err := raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
