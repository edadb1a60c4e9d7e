package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Settings of a Path: the delay per read under the cut Delay, the size of the
// copy buffer, and the interval of the checks whether a cut has ended.
const (
	pathDelay  = 150 * time.Millisecond
	pathBuffer = 16 << 10 // bytes
	pathPoll   = 20 * time.Millisecond
)

// Path is a TCP proxy on loopback that can be disturbed. Use NewPath.
type Path struct {
	target   string
	listener net.Listener
	onBytes  func([]byte) // called with the bytes to the target, may be nil; set before use
	mu       sync.Mutex
	cuts     map[int]Cut // in force, by the number of the step that set it
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

// Address returns the address at which the path accepts connections.
func (p *Path) Address() string { return p.listener.Addr().String() }

// Set applies a cut on behalf of a step, or with Pass removes that of the same
// step. If several are set, the one with the highest value of Cut is in force.
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

// Close closes the listener and all connections.
func (p *Path) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// reset ends all connections by a TCP reset. It must be called with the lock
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

// cut returns the cut in force.
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
		go p.serve(from)
	}
}

// serve connects an accepted connection to the target and forwards bytes both
// ways until both directions end.
func (p *Path) serve(from net.Conn) {
	p.add(from)
	if p.cut() == Reset {
		p.remove(from)
		return
	}
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		p.remove(from)
		return
	}
	p.add(to)
	var both sync.WaitGroup
	both.Go(func() { p.forward(from, to, There) })
	both.Go(func() { p.forward(to, from, Back) })
	both.Wait()
	p.remove(from)
	p.remove(to)
}

func (p *Path) add(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Path) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.conns, c)
}

// forward copies bytes in one direction. While that direction is cut it holds
// them back, as TCP would retransmit lost packets until they arrive.
func (p *Path) forward(from, to net.Conn, direction Cut) {
	buffer := make([]byte, pathBuffer)
	for {
		n, err := from.Read(buffer)
		for cut := p.cut(); cut == Silent || cut == direction; cut = p.cut() {
			time.Sleep(pathPoll)
		}
		if p.cut() == Delay {
			time.Sleep(pathDelay)
		}
		if n > 0 && direction == There && p.onBytes != nil {
			p.onBytes(buffer[:n])
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				end(t, err)
			}
			return
		}
	}
}

// end ends one direction of a connection as the other side ended it, by an error:
// a reset stays a reset.
func end(t *net.TCPConn, err error) {
	if errors.Is(err, syscall.ECONNRESET) {
		_ = t.SetLinger(0)
		_ = t.Close()
		return
	}
	_ = t.CloseWrite()
}
