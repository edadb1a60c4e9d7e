package fakes

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// addr is the address of one end of a connection, host:port.
type addr string

// Network returns the name of the network.
func (addr) Network() string { return "fake" }

// String returns the address.
func (a addr) String() string { return string(a) }

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	in, out       *flow
	local, remote addr
	once          sync.Once
	onClose       func()
}

func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.in.read(p)
	return n, c.wrap("read", err)
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	return n, c.wrap("write", err)
}

// wrap turns an error into a *net.OpError. It leaves io.EOF as it is, since
// readers compare it.
func (c *conn) wrap(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "fake", Source: c.local, Addr: c.remote, Err: err}
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.closeWrite()
		c.in.update(func() { c.in.readClosed = true })
		c.onClose()
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}
