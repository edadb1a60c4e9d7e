package front

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errLeft is the error of a try whose caller left before it was sent.
var errLeft = errors.New("caller left")

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn returns a context for the requests of a connection, by which a Front sees that
// their caller has left. It is a ConnContext of an http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// left reports whether the caller has left. The server tells so by the request's context
// once a goroutine of its own has read from the connection, which waits for the processor
// like all others; so the connection itself is asked, too.
func (j *job) left() bool {
	if j.gone.Load() || j.r.Context().Err() != nil {
		return true
	}
	conn, ok := j.r.Context().Value(connKey{}).(syscall.Conn)
	if ok && closedByPeer(conn) {
		j.gone.Store(true)
	}
	return j.gone.Load()
}

// closedByPeer reports whether the other end has closed a connection, and all that it sent
// before has been read.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { // not Read, which waits for the server's own
		var peeked [1]byte
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		again := errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
		closed = n <= 0 && !again
	})
	return closed || err != nil
}

// whileThere returns a context that ends with another one, and as soon as the server sees
// that the caller has left.
func (j *job) whileThere(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(j.r.Context(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
