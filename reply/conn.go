package reply

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// sendLimit is how long the end of a connection waits for the rest of the request to be
// sent. The write of a request that the server has read whole only has to return.
const sendLimit = time.Second

// Conn is a connection to a server that carries one request at a time. One goroutine may
// read while another one writes.
//
// The system tells a failure of a connection once: if the write of a request is told, a read
// sees an end, as after the last byte of an answer. So a read that sees the end waits until
// the request has been sent, and returns the error of the write if that failed.
type Conn struct {
	net.Conn
	writing chan struct{} // holds a value while bytes are written

	mu     sync.Mutex
	scan   scanner       // of what is read
	bad    error         // what is read is no answer
	failed error         // of a write
	sent   chan struct{} // closed once the present request has been sent; nil before the first one
}

// NewConn returns a Conn over a connection that has carried no request.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// Read reads the head of the final answer to a request, after informational ones, from a
// reader over a Conn.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// Begin has to be called before each request. What is read then begins with a head.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan.begin()
	c.sent = make(chan struct{})
}

// Again has to be called before another answer is read to the present request, with what
// has been read of it already.
func (c *Conn) Again(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan.begin()
	_, err := c.check(read)
	return err
}

// Sent has to be called once the present request has been sent, or with the error for
// which it wasn't.
func (c *Conn) Sent(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	if c.sent == nil || closed(c.sent) {
		return
	}
	close(c.sent)
}

// Whole reports whether the present request has been sent whole.
func (c *Conn) Whole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed == nil && c.sent != nil && closed(c.sent)
}

// closed reports whether a channel that carries no values is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// fail records the error of a write; the first one counts. The lock must be held.
func (c *Conn) fail(err error) {
	if c.failed == nil {
		c.failed = err
	}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.noteWrite(err)
	return n, err
}

// WriteBuffers writes all buffers, without a copy of them.
func (c *Conn) WriteBuffers(parts net.Buffers) error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	_, err := parts.WriteTo(c.Conn)
	c.noteWrite(err)
	return err
}

func (c *Conn) noteWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
}

// Read reads from the connection. Its error says if what comes is no
// answer's head or trailer. At the
// end it is io.EOF only if all writes succeeded, and the present request has been sent whole.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.refused(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, bad := c.check(p[:n])
	if bad != nil && sound == 0 {
		err = bad // otherwise the next read returns it
	}
	return sound, err
}

// check returns how many of the bytes that were read belong to an answer, and an error if
// not all do. The lock must be held.
func (c *Conn) check(read []byte) (int, error) {
	n, err := c.scan.read(read)
	if c.bad == nil {
		c.bad = err
	}
	return n, err
}

// refused returns the error of what was read before, if it is no answer.
func (c *Conn) refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bad
}

// end returns the error of a read that saw the end of the connection.
func (c *Conn) end() error {
	if !c.awaitSent() {
		return &Error{Op: "read", Kind: Unread}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return &Error{Op: "read", Kind: Unread, Err: c.failed}
	}
	return io.EOF
}

// awaitSent waits for at most sendLimit until the present request has been sent or has
// failed, and nothing is written any more. It reports false if that doesn't come.
func (c *Conn) awaitSent() bool {
	timeout := time.NewTimer(sendLimit)
	defer timeout.Stop()
	if sent := c.present(); sent != nil {
		select {
		case <-sent:
		case <-timeout.C:
			return false
		}
	}
	select {
	case c.writing <- struct{}{}: // a transport may still write what it had buffered
		<-c.writing
		return true
	case <-timeout.C:
		return false
	}
}

// present returns the channel that is closed once the present request has been sent, or nil.
func (c *Conn) present() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}
