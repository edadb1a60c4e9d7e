package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo starts a listener that answers each line with itself, and returns its
// address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					_, _ = c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A cut in either direction stops all answers without an error, a reset breaks
// connections at once, and the path works again when all cuts are removed.
func TestPath(t *testing.T) {
	is := is.New(t)
	p, err := NewPath(echo(t))
	is.NoErr(err)
	defer p.Close()
	// exchange returns how long an answer took on a connection, and whether it
	// arrived.
	exchange := func(c net.Conn) (time.Duration, bool) {
		began := time.Now()
		_ = c.SetDeadline(began.Add(2 * pathDelay))
		_, err := c.Write([]byte("x\n"))
		if err == nil {
			_, err = bufio.NewReader(c).ReadString('\n')
		}
		return time.Since(began), err == nil
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.Address())
		is.NoErr(err)
		return c
	}
	c := dial()
	_, arrived := exchange(c)
	is.True(arrived)
	for _, cut := range []Cut{There, Back, Silent} {
		p.Set(1, cut)
		_, arrived = exchange(dial())
		is.True(!arrived) // no answer, and no error before the deadline
	}
	p.Set(2, Reset)
	took, arrived := exchange(c)
	is.True(!arrived && took < pathDelay) // fails at once
	p.Set(1, Pass)
	p.Set(2, Pass)
	_, arrived = exchange(dial())
	is.True(arrived) // works again
}

// A cut for one address leaves the connections from others alone; one that refuses leaves
// open connections alone.
func TestPathFromOneAddress(t *testing.T) {
	is := is.New(t)
	p, err := NewPath(echo(t))
	is.NoErr(err)
	defer p.Close()
	dial := func(source string) net.Conn { // nil if it is refused
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		c, err := d.Dial("tcp4", p.Address())
		if err != nil {
			return nil
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	passes := func(c net.Conn) bool {
		if c == nil {
			return false
		}
		_ = c.SetDeadline(time.Now().Add(2 * pathDelay))
		_, err := c.Write([]byte("x\n"))
		if err == nil {
			_, err = bufio.NewReader(c).ReadString('\n')
		}
		return err == nil
	}
	a, b := dial("127.0.1.1"), dial("127.0.1.2")
	is.True(passes(a) && passes(b))
	for _, c := range []struct {
		cut       Cut
		open, new bool // whether connections from the address that is cut pass
	}{{Refuse, true, false}, {Silent, false, false}, {Reset, false, false}} {
		a := dial("127.0.1.1")
		is.True(passes(a))
		p.SetFrom(1, c.cut, "127.0.1.1")
		is.Equal(passes(a), c.open)
		is.Equal(passes(dial("127.0.1.1")), c.new)
		is.True(passes(b) && passes(dial("127.0.1.2")))
		p.SetFrom(1, Pass, "127.0.1.1")
	}
}

// A slow path accepts connections once in each period, and leaves open ones alone.
func TestSlowPath(t *testing.T) {
	is := is.New(t)
	p, err := NewPath(echo(t))
	is.NoErr(err)
	defer p.Close()
	const period = time.Second
	answered := func(c net.Conn) time.Time {
		_ = c.SetDeadline(time.Now().Add(2 * period))
		_, err := c.Write([]byte("x\n"))
		is.NoErr(err)
		_, err = bufio.NewReader(c).ReadString('\n')
		is.NoErr(err)
		return time.Now()
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.Address())
		is.NoErr(err)
		return c
	}
	open := dial()
	answered(open)
	p.Slow(period)
	accepted := answered(dial()) // at the beginning of a period
	time.Sleep(4 * acceptTime)
	began := time.Now()
	is.True(answered(open).Sub(began) < period/2)
	is.True(answered(dial()).Sub(accepted) >= period/2+4*acceptTime)
	p.Slow(0)
	answered(dial())
	began = time.Now()
	is.True(answered(dial()).Sub(began) < period/2)
}
