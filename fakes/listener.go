package fakes

import (
	"net"
	"sync"
)

// backlog is the maximum number of connections that wait to be accepted.
const backlog = 128

// listener accepts the connections to one address. It implements net.Listener.
type listener struct {
	address addr
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
	onClose func()
}

func newListener(address string, onClose func()) *listener {
	return &listener{
		address: addr(address),
		queue:   make(chan net.Conn, backlog),
		done:    make(chan struct{}),
		onClose: onClose,
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.onClose()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
