package gossip

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/site"
)

// startDaemon runs a Gossip on a loopback socket until the test ends or the returned
// function stops it.
func startDaemon(t *testing.T, id string, listed func() map[string]site.Daemon) (*Gossip, site.Daemon, context.CancelFunc) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := site.Daemon{ID: id, Peer: conn.LocalAddr().String()}
	g := New(Options{
		Self: self, Conn: conn, Boot: clock.Boot, Log: logr.Discard(), Listed: listed, Receive: func(Message) {}, Fresh: func() bool { return true },
		Report: func() Message { return Message{Ready: true, Endpoints: map[string]EndpointLoad{"e": {Running: 2}}} },
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	return g, self, stop
}

// waitFor waits up to 5 s for a condition.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

// A daemon that is listed receives messages and answers their sender, even if the
// sender isn't listed. A daemon that has ended is soon no longer alive.
func TestIsAlive(t *testing.T) {
	is := is.New(t)
	a, one, _ := startDaemon(t, "a", func() map[string]site.Daemon { return nil })
	b, _, stop := startDaemon(t, "b", func() map[string]site.Daemon { return map[string]site.Daemon{"a": one} })
	waitFor(t, "b at a", func() bool { return a.IsAlive("b") })
	waitFor(t, "a at b, though nobody lists b", func() bool { return b.IsAlive("a") })
	waitFor(t, "b's load at a", func() bool { return len(a.Alive()) > 0 }) // kept for aliveMemory from before b was heard
	is.Equal(a.Alive()[0].Endpoints["e"].Running, 2)
	stop()
	waitFor(t, "b away", func() bool { return !a.IsAlive("b") && len(a.Alive()) == 0 })
}

// Datagrams that aren't valid messages with a sender are discarded.
func TestInvalidDatagramsAreDiscarded(t *testing.T) {
	is := is.New(t)
	a, one, _ := startDaemon(t, "a", func() map[string]site.Daemon { return nil })
	c, err := net.Dial("udp4", one.Peer)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for _, text := range []string{"", "{", "{}", `{"from":7}`, strings.Repeat("x", 9000)} {
		_, _ = c.Write([]byte(text))
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(a.Alive()), 0)
}

// The log shows when a daemon that is heard regularly becomes silent, once, and when it
// is heard regularly again.
func TestSilenceIsLogged(t *testing.T) {
	is := is.New(t)
	var lines []string
	now := time.Second
	g := New(Options{
		Self: site.Daemon{ID: "a"}, Boot: func() time.Duration { return now }, Receive: func(Message) {},
		Listed: func() map[string]site.Daemon { return nil },
		Log:    funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
	})
	b := Message{From: site.Daemon{ID: "b", Peer: "127.0.0.1:1", Domain: "north"}}
	hear := func(times int) {
		for range times {
			g.handle(b)
		}
	}
	hear(regularMessages)
	now += silenceTimeout
	for range 3 {
		g.forgetSilent()
	}
	is.Equal(len(g.Alive()), 0)
	hear(regularMessages + 1)
	want := []string{
		`"level"=0 "msg"="daemon heard" "peer"="b" "domain"="north" "silent_ms"=0`,
		`"level"=0 "msg"="daemon silent" "peer"="b" "domain"="north" "silent_ms"=800`,
		`"level"=0 "msg"="daemon heard" "peer"="b" "domain"="north" "silent_ms"=800`,
	}
	is.Equal(lines, want)
}

// Relays send to daemons at random, so that parts of a fleet find each other. A peer that
// is met so must not be logged as silent when no further message follows.
func TestPeerMetAtRandomIsNotLogged(t *testing.T) {
	is := is.New(t)
	lines := 0
	now := time.Second
	g := New(Options{
		Self: site.Daemon{ID: "a"}, Boot: func() time.Duration { return now }, Receive: func(Message) {},
		Listed: func() map[string]site.Daemon { return nil }, Log: funcr.New(func(_, _ string) { lines++ }, funcr.Options{}),
	})
	for range 10 {
		g.handle(Message{From: site.Daemon{ID: "b", Peer: "127.0.0.1:1", Domain: "north"}})
		now += 3 * time.Second
		g.forgetSilent()
	}
	is.Equal(lines, 0)
}

// A discarded datagram is logged with its cause; of many, one is logged per
// discardLogInterval, with the total number.
func TestDiscardedDatagramsAreLogged(t *testing.T) {
	is := is.New(t)
	var lines []string
	now := time.Second
	g := New(Options{
		Boot: func() time.Duration { return now },
		Log:  funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
	})
	for range 50 {
		g.logDiscarded("decode message", errNoSender)
	}
	now += discardLogInterval
	g.logDiscarded("decode message", errNoSender)
	is.Equal(lines, []string{
		`"level"=0 "msg"="datagrams passed over" "op"="decode message" "error"="message without a sender" "passed"=1`,
		`"level"=0 "msg"="datagrams passed over" "op"="decode message" "error"="message without a sender" "passed"=51`,
	})
}
