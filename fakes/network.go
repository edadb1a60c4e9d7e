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

// Every stands for every host in Cut, Heal and Silence.
const Every = "*"

// dialTimeout bounds a dial over a link that is cut.
const dialTimeout = 5 * time.Second

// idlePerHost is the number of idle connections that a client keeps to a host.
const idlePerHost = 256

// Network connects named hosts in memory. A connection passes bytes in order,
// holds up to 64 KiB each way, and knows deadlines, so that net/http servers
// and clients work on it; its waits are on channels, so that it works under
// testing/synctest. The zero value is not usable.
type Network struct {
	// Latency is the time that bytes take from one host to the other; nil
	// for none. It is set before use.
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

// link names two hosts, in alphabetical order.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// matches reports whether the link is meant by a pair of names of which each
// may be Every.
func (l link) matches(m link) bool {
	return l == m || l.meant(m.a, m.b) || l.meant(m.b, m.a)
}

func (l link) meant(a, b string) bool {
	return (a == Every || a == l.a) && (b == Every || b == l.b)
}

// pair is a connection with both its directions.
type pair struct {
	link  link
	flows [2]*flow
}

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

// Listen accepts connections to an address, host:port. It panics where the
// address is in use, since that is a fault of the test.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		panic("fakes: address in use: " + address)
	}
	l := newListener(address, func() { n.forget(address) })
	n.listeners[address] = l
	return l
}

func (n *Network) forget(address string) {
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

// Dial connects host to an address, host:port. It fails at once where nobody
// listens, and over a link that is cut it waits for the link, the context or
// five seconds.
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
	if err := n.reach(ctx, linkOf(host, target)); err != nil {
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

func (n *Network) listener(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address]
}

// reach waits until a link is whole.
func (n *Network) reach(ctx context.Context, l link) error {
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

// connect makes a connection and returns its two ends.
func (n *Network) connect(host, target, address string) (near, far *conn) {
	l := linkOf(host, target)
	held := func() bool { return n.held(l) }
	there := newFlow(held, func() time.Duration { return n.latency(host, target) })
	back := newFlow(held, func() time.Duration { return n.latency(target, host) })
	p := &pair{link: l, flows: [2]*flow{there, back}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[p] = true
	n.ports++
	local := addr(fmt.Sprintf("%s:%d", host, 1024+n.ports))
	closed := n.closer(p)
	near = &conn{in: back, out: there, local: local, remote: addr(address), closed: closed}
	far = &conn{in: there, out: back, local: addr(address), remote: local, closed: closed}
	return near, far
}

// closer returns a function that forgets a connection at its second call.
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

func (n *Network) held(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCut(l)
}

// isCut is called with the lock held.
func (n *Network) isCut(l link) bool {
	for m := range n.cut {
		if l.matches(m) {
			return true
		}
	}
	return false
}
