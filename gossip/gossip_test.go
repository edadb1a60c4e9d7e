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

func start(t *testing.T, id string, listed func() map[string]site.Daemon) (*Gossip, site.Daemon, context.CancelFunc) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := site.Daemon{ID: id, Peer: conn.LocalAddr().String()}
	g := New(Options{
		Self: self, Conn: conn, Boot: clock.Boot, Log: logr.Discard(), Listed: listed, Hear: func(Message) {},
		Tell: func() Message { return Message{Ready: true, Heads: map[string]Head{"e": {Running: 2}}} },
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

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

// A daemon that the store lists is heard, knows from then on who is there, and
// is away soon after it ends.
func TestHears(t *testing.T) {
	is := is.New(t)
	a, one, _ := start(t, "a", func() map[string]site.Daemon { return nil })
	b, _, stop := start(t, "b", func() map[string]site.Daemon { return map[string]site.Daemon{"a": one} })
	await(t, "b at a", func() bool { return a.Hears("b") })
	await(t, "a at b, though nobody lists b", func() bool { return b.Hears("a") })
	is.Equal(a.Alive()[0].Heads["e"].Running, 2)
	stop()
	await(t, "b away", func() bool { return !a.Hears("b") && len(a.Alive()) == 0 })
}

// Datagrams of others are passed over.
func TestStrangers(t *testing.T) {
	is := is.New(t)
	a, one, _ := start(t, "a", func() map[string]site.Daemon { return nil })
	c, err := net.Dial("udp4", one.Peer)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for _, text := range []string{"", "{", "{}", `{"from":7}`, strings.Repeat("x", 9000)} {
		_, _ = c.Write([]byte(text))
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(a.Alive()), 0)
}

// The log says when a daemon falls silent and when it is heard again.
func TestSilenceIsLogged(t *testing.T) {
	is := is.New(t)
	var lines []string
	now := time.Second
	g := New(Options{
		Self: site.Daemon{ID: "a"}, Boot: func() time.Duration { return now }, Hear: func(Message) {},
		Listed: func() map[string]site.Daemon { return nil },
		Log:    funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
	})
	b := Message{From: site.Daemon{ID: "b", Peer: "127.0.0.1:1", Domain: "north"}}
	g.take(b)
	now += silence
	for range 3 {
		g.targets()
	}
	is.Equal(len(g.Alive()), 0)
	g.take(b)
	g.take(b)
	want := []string{
		`"level"=0 "msg"="daemon heard" "peer"="b" "domain"="north" "silent_ms"=0`,
		`"level"=0 "msg"="daemon silent" "peer"="b" "domain"="north" "silent_ms"=800`,
		`"level"=0 "msg"="daemon heard" "peer"="b" "domain"="north" "silent_ms"=800`,
	}
	is.Equal(lines, want)
}

// What can't be used is logged with its cause, and a flood of it by one line.
func TestOddDatagramsAreLogged(t *testing.T) {
	is := is.New(t)
	var lines []string
	now := time.Second
	g := New(Options{
		Boot: func() time.Duration { return now },
		Log:  funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
	})
	for range 50 {
		g.odd("decode message", errNameless)
	}
	now += oddEach
	g.odd("decode message", errNameless)
	is.Equal(lines, []string{
		`"level"=0 "msg"="datagrams passed over" "op"="decode message" "error"="message without a sender" "passed"=1`,
		`"level"=0 "msg"="datagrams passed over" "op"="decode message" "error"="message without a sender" "passed"=51`,
	})
}
