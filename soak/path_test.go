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
