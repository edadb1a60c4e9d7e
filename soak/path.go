package soak

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Settings of a Path: the delay per read under the cut Delay, the size of the
// copy buffer, and the interval of the checks whether a cut has ended.
const (
	pathDelay  = 150 * time.Millisecond
	pathBuffer = 16 << 10 // bytes
	pathPoll   = 20 * time.Millisecond
	acceptTime = 5 * time.Millisecond // for which a slow path accepts connections
)

// Path is a TCP proxy on loopback that can be disturbed. Use NewPath.
type Path struct {
	target   string
	listener *net.TCPListener
	onBytes  func([]byte) // called with the bytes to the target, may be nil; set before use
	pause    atomic.Int64 // nanoseconds between the times at which connections are accepted, 0 for none
	mu       sync.Mutex
	cuts     map[int]cutFrom     // in force, by the number of the step that set it
	conns    map[net.Conn]string // by the address that they were accepted from
}

// cutFrom is a cut for the connections from one address, or from all if it is empty.
type cutFrom struct {
	cut    Cut
	source string
}

// holds reports whether the cut is for connections from an address.
func (c cutFrom) holds(source string) bool { return c.source == "" || c.source == source }

// NewPath returns a path to a target. The error is that of the listener.
func NewPath(target string) (*Path, error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &Path{target: target, listener: listener, cuts: map[int]cutFrom{}, conns: map[net.Conn]string{}}
	go p.accept()
	return p, nil
}

// Address returns the address at which the path accepts connections.
func (p *Path) Address() string { return p.listener.Addr().String() }

// Set applies a cut on behalf of a step, or with Pass removes that of the same
// step. If several are set, the one with the highest value of Cut is in force.
func (p *Path) Set(step int, cut Cut) { p.SetFrom(step, cut, "") }

// SetFrom is Set for the connections from one address alone, without a port.
func (p *Path) SetFrom(step int, cut Cut, source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == Pass {
		delete(p.cuts, step)
		return
	}
	p.cuts[step] = cutFrom{cut, source}
	if cut == Reset {
		p.reset(p.cuts[step])
	}
}

// Slow makes the path accept connections only once in each period, as endpoints on an
// instance under heavy load do; 0 ends that. Paths of one period accept at the same times.
func (p *Path) Slow(period time.Duration) {
	p.pause.Store(int64(period))
	_ = p.listener.SetDeadline(time.Now()) // fails only on a closed listener, which accepts nothing
}

// Close closes the listener and all connections.
func (p *Path) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset(cutFrom{})
}

// reset ends the connections that a cut is for by a TCP reset. It must be called with the
// lock held.
func (p *Path) reset(cut cutFrom) {
	for c, source := range p.conns {
		if !cut.holds(source) {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// cut returns the cut in force for connections from an address.
func (p *Path) cut(source string) Cut {
	p.mu.Lock()
	defer p.mu.Unlock()
	strongest := Pass
	for _, c := range p.cuts {
		if c.holds(source) {
			strongest = max(strongest, c.cut)
		}
	}
	return strongest
}

func (p *Path) accept() {
	var turnEnd time.Time
	for {
		from, err := p.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			turnEnd = p.awaitTurn()
			continue
		}
		if err != nil {
			return
		}
		// Accept may return a connection that arrives while it is woken by its deadline, or
		// before the timer of the deadline runs.
		if p.pause.Load() > 0 && time.Now().After(turnEnd) {
			turnEnd = p.awaitTurn()
		}
		go p.serve(from)
	}
}

// awaitTurn waits until the path accepts connections again, and sets and returns until when
// it does, the zero time for no end.
func (p *Path) awaitTurn() time.Time {
	deadline := time.Time{}
	if period := time.Duration(p.pause.Load()); period > 0 {
		now := time.Now()
		time.Sleep(now.Truncate(period).Add(period).Sub(now))
		deadline = time.Now().Add(acceptTime)
	}
	_ = p.listener.SetDeadline(deadline) // fails only on a closed listener, as Accept does next
	return deadline
}

// serve connects an accepted connection to the target and forwards bytes both
// ways until both directions end.
func (p *Path) serve(from net.Conn) {
	source, _, _ := net.SplitHostPort(from.RemoteAddr().String()) // of a TCP connection it is well-formed
	p.add(from, source)
	if c := p.cut(source); c == Reset || c == Refuse {
		p.abort(from)
		return
	}
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		p.remove(from)
		return
	}
	p.add(to, source)
	var both sync.WaitGroup
	both.Go(func() { p.forward(from, to, There, source) })
	both.Go(func() { p.forward(to, from, Back, source) })
	both.Wait()
	p.remove(from)
	p.remove(to)
}

func (p *Path) add(c net.Conn, source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = source
}

// abort ends a connection by a TCP reset.
func (p *Path) abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	p.remove(c)
}

func (p *Path) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.conns, c)
}

// forward copies bytes in one direction. While that direction is cut it holds
// them back, as TCP would retransmit lost packets until they arrive.
func (p *Path) forward(from, to net.Conn, direction Cut, source string) {
	buffer := make([]byte, pathBuffer)
	for {
		n, err := from.Read(buffer)
		for cut := p.cut(source); cut == Silent || cut == direction; cut = p.cut(source) {
			time.Sleep(pathPoll)
		}
		if p.cut(source) == Delay {
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
