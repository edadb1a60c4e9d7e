package conns

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// An endpoint that reads a long request slowly takes nothing for a time. The system counts
// that against userTimeout although the endpoint answers each probe. So the limit doesn't
// apply to the connection of a long request, whose packets are watched here instead.

const longWatchPeriod = 250 * time.Millisecond // longer than a packet and its answer take

// watchLong lifts userTimeout and closes the connection if the endpoint's host is silent for
// that time, until the answer comes.
func (c *Conn) watchLong(answered <-chan struct{}) {
	raw := c.link.raw()
	if raw == nil {
		return
	}
	c.link.lifted = true
	_ = raw.Control(limitUnacknowledged(0)) // fails only on a closed connection
	go func() {
		tick := time.NewTicker(longWatchPeriod)
		defer tick.Stop()
		for before := false; ; {
			select {
			case <-answered:
				return
			case <-tick.C:
			}
			silent, err := hostSilent(raw)
			if err != nil {
				return
			}
			if silent && before {
				_ = c.Close()
				return
			}
			before = silent
		}
	}()
}

// limitAgain makes userTimeout apply again.
func (l *link) limitAgain() {
	if raw := l.raw(); l.lifted && raw != nil {
		_ = raw.Control(limitUnacknowledged(userTimeout)) // fails only on a closed connection
	}
	l.lifted = false
}

// raw returns the connection's socket, nil if it has none.
func (l *link) raw() syscall.RawConn {
	c, ok := l.Conn.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// hostSilent reports whether the other host has left packets unanswered for userTimeout. The
// error is that of the system, on a closed connection or one that isn't TCP.
func hostSilent(raw syscall.RawConn) (bool, error) {
	var info *unix.TCPInfo
	var failed error
	err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return false, err
	}
	if failed != nil {
		return false, failed
	}
	return unanswered(info), nil
}

// unanswered reports whether packets are unanswered and nothing came for userTimeout. An
// endpoint that takes nothing still answers probes, of which one may be lost.
func unanswered(info *unix.TCPInfo) bool {
	return (info.Probes > 1 || info.Retransmits > 1) && time.Duration(info.Last_ack_recv)*time.Millisecond >= userTimeout
}
