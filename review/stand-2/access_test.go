package stand

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
)

// access is an address of the store for one daemon, at which the store may turn that one away
// while it serves the others.
type access struct {
	address string
	denied  atomic.Bool
}

// access serves the store at a further address until the process ends.
func (s *store) access() (*access, error) {
	address, err := freePort()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	a := &access{address: address}
	handler := s.handler()
	server := &http.Server{ConnState: s.note, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.denied.Load() {
			s.mu.Lock()
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return a, nil
}

// paths are the paths to the servers from the source addresses of daemons, which may be cut:
// then all connections are reset, open ones too.
type paths struct {
	mu   sync.Mutex
	cut  map[string]bool
	open map[net.Conn]string // source by connection
}

func newPaths() *paths { return &paths{cut: map[string]bool{}, open: map[net.Conn]string{}} }

// set cuts the paths from a source, or restores them.
func (p *paths) set(source string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[source] = cut
	for c, from := range p.open {
		if cut && from == source {
			reset(c)
			delete(p.open, c)
		}
	}
}

// admit records a connection, and reports whether its path isn't cut.
func (p *paths) admit(c net.Conn) bool {
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || p.cut[source] {
		return false
	}
	p.open[c] = source
	return true
}

// forget drops a connection that has ended.
func (p *paths) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// pathListener accepts the connections whose path isn't cut.
type pathListener struct {
	net.Listener
	paths *paths
}

// Accept waits for a connection.
func (l pathListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.paths.admit(c) {
			return c, err
		}
		reset(c)
	}
}
