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

// traffic counts bytes of one daemon's connections.
type traffic struct {
	peerSent, peerGot         atomic.Int64 // to and from other daemons
	storeSent, storeGot       atomic.Int64
	endpointSent, endpointGot atomic.Int64
}

// meteredConn adds what passes to two counters.
type meteredConn struct {
	net.Conn
	sent, got *atomic.Int64
}

// Read counts what it reads.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.got.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// dial counts by what the address belongs to.
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
			return meteredConn{conn, &t.storeSent, &t.storeGot}, nil
		case port >= daemonPort:
			return meteredConn{conn, &t.peerSent, &t.peerGot}, nil
		default:
			return meteredConn{conn, &t.endpointSent, &t.endpointGot}, nil
		}
	}
}

// listener counts what other daemons send.
type listener struct {
	net.Listener
	traffic *traffic
}

// Accept returns a connection that counts.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, &l.traffic.peerSent, &l.traffic.peerGot}, nil
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for an argument that does not exist.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// resident returns the memory of this process in bytes, 0 where it is unknown.
func resident() int64 {
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
