package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// AnyHost means every host in Cut, Heal, Silence and Reset.
const AnyHost = "*"

// dialTimeout is the timeout of a dial over a link that is cut.
const dialTimeout = 5 * time.Second

// idlePerHost is the number of idle connections that a client keeps to a host.
const idlePerHost = 256

// Network connects named hosts in memory. A connection transfers bytes in order,
// buffers up to 64 KiB in each direction, and supports deadlines, so that
// net/http servers and clients work on it. It waits only on channels, so that it
// works under testing/synctest. Use NewNetwork.
type Network struct {
	// Latency returns the time that bytes take from one host to another. Nil
	// means none. It must be set before use.
	Latency func(from, to string) time.Duration

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each Cut and Heal
	cut        map[link]bool
	listeners  map[string]*listener
	conns      map[*pair]bool
	transports []*http.Transport
	servers    []*http.Server
	serving    sync.WaitGroup
	ports      int
}

// link is a pair of hosts in alphabetical order.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// matches reports whether the link is covered by a pair of names, either of
// which may be AnyHost.
func (l link) matches(m link) bool {
	return l == m || l.covers(m.a, m.b) || l.covers(m.b, m.a)
}

// covers reports whether each name equals that of the host in its position or is
// AnyHost.
func (l link) covers(a, b string) bool {
	return (a == AnyHost || a == l.a) && (b == AnyHost || b == l.b)
}

// pair is the two flows of a connection.
type pair struct {
	link  link
	flows [2]*flow
}

// update applies a change to both flows.
func (p *pair) update(change func(f *flow)) {
	for _, f := range p.flows {
		f.update(func() { change(f) })
	}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		changed:   make(chan struct{}),
		cut:       map[link]bool{},
		listeners: map[string]*listener{},
		conns:     map[*pair]bool{},
	}
}

// Listen returns a listener at an address, host:port. It panics if the address
// is in use, since that is a fault of the test.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		panic("fakes: address in use: " + address)
	}
	l := newListener(address, func() { n.removeListener(address) })
	n.listeners[address] = l
	return l
}

func (n *Network) removeListener(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

// Serve serves a handler at an address until Close, or until the returned
// server is closed.
func (n *Network) Serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l := n.Listen(address)
	n.mu.Lock()
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	n.serving.Go(func() { _ = server.Serve(l) })
	return server
}

// Client returns a client whose connections come from host.
func (n *Network) Client(host string) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, host, address)
		},
		MaxIdleConnsPerHost: idlePerHost,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports = append(n.transports, transport)
	return &http.Client{Transport: transport}
}

// Dial connects host to an address, host:port. It fails at once if nothing
// listens there. Over a link that is cut it waits until the link is healed, ctx
// ends or five seconds have passed.
func (n *Network) Dial(ctx context.Context, host, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := n.dial(ctx, host, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "fake", Source: addr(host), Addr: addr(address), Err: err}
	}
	return c, nil
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	target, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if err := n.awaitLink(ctx, linkOf(host, target)); err != nil {
		return nil, err
	}
	l := n.listener(address)
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := n.connect(host, target, address)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.done:
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, errors.Join(err, near.Close(), far.Close())
}

// listener returns the listener at an address, or nil.
func (n *Network) listener(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address]
}

// awaitLink waits until a link is not cut.
func (n *Network) awaitLink(ctx context.Context, l link) error {
	for {
		n.mu.Lock()
		cut := n.isCut(l)
		changed := n.changed
		n.mu.Unlock()
		if !cut {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect creates a connection and returns its two ends.
func (n *Network) connect(host, target, address string) (near, far *conn) {
	l := linkOf(host, target)
	blocked := func() bool { return n.blocked(l) }
	outbound := newFlow(blocked, func() time.Duration { return n.latency(host, target) })
	inbound := newFlow(blocked, func() time.Duration { return n.latency(target, host) })
	p := &pair{link: l, flows: [2]*flow{outbound, inbound}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[p] = true
	n.ports++
	local := addr(fmt.Sprintf("%s:%d", host, 1024+n.ports))
	onClose := n.closer(p)
	near = &conn{in: inbound, out: outbound, local: local, remote: addr(address), onClose: onClose}
	far = &conn{in: outbound, out: inbound, local: addr(address), remote: local, onClose: onClose}
	return near, far
}

// closer returns a function that removes a connection when it is called the
// second time, once by each end.
func (n *Network) closer(p *pair) func() {
	ends := 0
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		ends++
		if ends == len(p.flows) {
			delete(n.conns, p)
		}
	}
}

func (n *Network) latency(from, to string) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(from, to)
}

// blocked reports whether a link is cut.
func (n *Network) blocked(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCut(l)
}

// isCut reports whether a link is cut. It must be called with the lock held.
func (n *Network) isCut(l link) bool {
	for m := range n.cut {
		if l.matches(m) {
			return true
		}
	}
	return false
}
