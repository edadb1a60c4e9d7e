package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"clementinehead.example/chead/reply"
)

// keptCaller opens connections to one daemon only and uses each until the daemon
// closes it or asks for that. It goes on while the daemon is stopping, and after its
// restart.
type keptCaller struct {
	client  *client
	daemon  *daemon
	path    string
	maxIdle time.Duration // a connection is left unused for up to so long before each request; 0: not at all
	chances *rand.Rand
}

const (
	connectTimeout = time.Second
	connectPause   = 50 * time.Millisecond   // after a connection that was not accepted
	refusedPause   = 250 * time.Millisecond  // after a request that was not served
	maxIdle        = 4500 * time.Millisecond // below the time that daemons allow until a connection's first request
	idlersKept     = 2                       // callers for each daemon and kind of request that leave connections unused
)

// keptDeadlines are the deadlines of the requests, drawn for each.
var keptDeadlines = []time.Duration{3 * time.Second, deadline, 8 * time.Second}

// runKept runs the callers that stay with their daemons until the context ends: for
// each daemon and kind of request some that go on at once, and some that leave their
// connections unused for a while.
func runKept(ctx context.Context, c *client) {
	var callers sync.WaitGroup
	n := uint64(0)
	add := func(d *daemon, path string, idle time.Duration) {
		n++
		k := &keptCaller{client: c, daemon: d, path: path, maxIdle: idle, chances: rand.New(rand.NewPCG(c.cluster.options.Seed, n))}
		callers.Go(func() { k.run(ctx) })
	}
	for _, d := range c.cluster.daemons {
		for _, path := range []string{talkPath, talkPath, tellPath, filePath, readPath} {
			add(d, path, 0)
		}
		for _, path := range []string{talkPath, tellPath, filePath, readPath} {
			for range idlersKept {
				add(d, path, maxIdle)
			}
		}
	}
	callers.Wait()
}

// run opens one connection after the other.
func (k *keptCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", k.daemon.caller, connectTimeout)
		if err != nil {
			time.Sleep(connectPause)
			continue
		}
		k.use(ctx, reply.NewConn(conn))
		_ = conn.Close()
	}
}

// use sends requests over a connection until it ends.
func (k *keptCaller) use(ctx context.Context, conn *reply.Conn) {
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		if k.maxIdle > 0 {
			time.Sleep(time.Duration(k.chances.Int64N(int64(k.maxIdle))))
		}
		rec := k.client.begin(k.daemon, k.path, "good-key")
		rec.kept = true
		rec.deadline = keptDeadlines[k.chances.IntN(len(keptDeadlines))]
		k.slowDown(conn, &rec)
		ends := k.exchange(conn, reader, &rec)
		k.client.finish(rec)
		if !rec.served() {
			time.Sleep(refusedPause)
		}
		if rec.ending != answered || ends {
			return
		}
	}
}

const (
	slowShare  = 8                       // one stream in so many has a caller that reads slowly
	slowSize   = 88 << 10                // bytes of its body, for which events are padded, so that connections don't hold the stream
	slowBuffer = 64 << 10                // bytes that the caller's socket holds
	slowPause  = 1500 * time.Millisecond // in which it doesn't read
)

// slowDown makes the caller of some requests a slow one, if the profile has such.
func (k *keptCaller) slowDown(conn *reply.Conn, rec *record) {
	if !k.client.cluster.traits.slow || !routes[k.path].stream || k.chances.IntN(slowShare) > 0 {
		return
	}
	rec.size = slowSize
	_ = conn.Conn.(*net.TCPConn).SetReadBuffer(slowBuffer)
}

// exchange sends a request, fills in its result and reports whether the connection is
// to be closed.
func (k *keptCaller) exchange(conn *reply.Conn, reader *bufio.Reader, rec *record) (ends bool) {
	call := rec.call(k.daemon.caller)
	request, err := call.Request(context.Background())
	if err != nil {
		rec.end(err)
		return true
	}
	if k.chances.IntN(2) == 0 {
		request.ContentLength = int64(len(call.Body())) // otherwise it goes in chunks
	}
	_ = conn.SetDeadline(time.Now().Add(rec.deadline + callerSlack))
	conn.Begin()
	err = request.Write(conn)
	conn.Sent(err)
	if err != nil {
		rec.err, rec.ending = err, reset // whatever the error, which package http may hide
		return true
	}
	rec.written = time.Now()
	response, err := reply.Read(reader, request)
	if err != nil {
		rec.end(err)
		return true
	}
	rec.read(response)
	if rec.ending == answered && reader.Buffered() > 0 {
		rec.ending = malformed // an answer for which there is no request
	}
	return response.Close
}
