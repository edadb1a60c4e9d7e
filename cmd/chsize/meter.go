package main

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// traffic counts the bytes on one daemon's connections by direction and other end.
type traffic struct {
	peerSent, peerReceived         atomic.Int64 // other daemons
	storeSent, storeReceived       atomic.Int64
	endpointSent, endpointReceived atomic.Int64
}

// meteredConn is a connection that adds the bytes sent and received to counters.
type meteredConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// dial returns a dial function whose connections count their bytes. The address tells
// whether the other end is the store, a daemon (ports from firstDaemonPort) or an
// endpoint. The time limit for a connection is 1 s.
func (t *traffic) dial(store string) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_, text, _ := net.SplitHostPort(address)
		port, _ := strconv.Atoi(text)
		switch {
		case address == store:
			return meteredConn{conn, &t.storeSent, &t.storeReceived}, nil
		case port >= firstDaemonPort:
			return meteredConn{conn, &t.peerSent, &t.peerReceived}, nil
		default:
			return meteredConn{conn, &t.endpointSent, &t.endpointReceived}, nil
		}
	}
}

// listener accepts connections from other daemons and counts their bytes.
type listener struct {
	net.Listener
	traffic *traffic
}

// Accept returns the next connection, as a meteredConn.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, &l.traffic.peerSent, &l.traffic.peerReceived}, nil
}

// cpuTime returns the processor time that this process has used, user and system time
// together.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentMemory returns the resident memory of this process in bytes, or 0 if it is
// unknown.
func residentMemory() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
