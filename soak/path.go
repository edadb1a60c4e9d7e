package soak

import (
	"net"
	"sync"
	"time"
)

const (
	pathDelay  = 150 * time.Millisecond
	pathBuffer = 16 << 10 // bytes
	pathLook   = 20 * time.Millisecond
)

// Path is a TCP proxy on loopback that can be disturbed. Use NewPath.
type Path struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	cuts     map[int]Cut // in force, by who set it
	conns    map[net.Conn]bool
}

// NewPath returns a path to a target. The error is that of the listener.
func NewPath(target string) (*Path, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Path{target: target, listener: listener, cuts: map[int]Cut{}, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the path begins.
func (p *Path) Address() string { return p.listener.Addr().String() }

// Set disturbs the path, or with Pass takes back what the same step set. The
// strongest cut holds.
func (p *Path) Set(step int, cut Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == Pass {
		delete(p.cuts, step)
		return
	}
	p.cuts[step] = cut
	if cut == Reset {
		p.reset()
	}
}

// Close ends the path and its connections.
func (p *Path) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// reset ends all connections without a farewell. It is called with the lock
// held.
func (p *Path) reset() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Path) cut() Cut {
	p.mu.Lock()
	defer p.mu.Unlock()
	strongest := Pass
	for _, c := range p.cuts {
		strongest = max(strongest, c)
	}
	return strongest
}

func (p *Path) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(from)
	}
}

func (p *Path) join(from net.Conn) {
	p.keep(from)
	if p.cut() == Reset {
		p.drop(from)
		return
	}
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		p.drop(from)
		return
	}
	p.keep(to)
	var both sync.WaitGroup
	both.Go(func() { p.pump(from, to, There) })
	both.Go(func() { p.pump(to, from, Back) })
	both.Wait()
	p.drop(from)
	p.drop(to)
}

func (p *Path) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Path) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.conns, c)
}

// pump passes bytes one way. What comes while that way is cut waits, as packets
// that are sent again until they get through.
func (p *Path) pump(from, to net.Conn, way Cut) {
	buffer := make([]byte, pathBuffer)
	for {
		n, err := from.Read(buffer)
		for cut := p.cut(); cut == Silent || cut == way; cut = p.cut() {
			time.Sleep(pathLook)
		}
		if p.cut() == Delay {
			time.Sleep(pathDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}
