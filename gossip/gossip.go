package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/site"
)

const (
	period    = 100 * time.Millisecond // between two messages to the same peers
	silence   = 800 * time.Millisecond // a peer that was not heard for so long is away, where a round reaches all
	patience  = 5                      // mean intervals between messages, where a round reaches only some
	fanout    = 16                     // peers that one round reaches
	datagram  = 60_000                 // bytes
	oddEach   = 5 * time.Second
	forgotten = 30 * time.Second // a peer that is away so long is dropped
)

// Options are what a Gossip needs.
type Options struct {
	Self   site.Daemon
	Conn   net.PacketConn
	Boot   func() time.Duration
	Log    logr.Logger
	Listed func() map[string]site.Daemon // daemons that the store lists
	Tell   func() Message                // what to say; From is filled in
	Hear   func(Message)                 // called for each message heard
}

// Gossip exchanges messages with the other daemons. Use New.
type Gossip struct {
	options Options
	mu      sync.Mutex
	peers   map[string]*peer
	passed  int           // datagrams and records
	oddNext time.Duration // no line about these before
}

type peer struct {
	message Message
	heard   time.Duration
	away    bool // it was said in the log
}

// New returns a Gossip that has heard nobody.
func New(o Options) *Gossip { return &Gossip{options: o, peers: map[string]*peer{}} }

// Alive returns the newest messages of the daemons that were heard lately.
func (g *Gossip) Alive() []Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	var alive []Message
	for _, p := range g.peers {
		if now-p.heard < g.silence() {
			alive = append(alive, p.message)
		}
	}
	return alive
}

// Hears reports whether a daemon was heard lately.
func (g *Gossip) Hears(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.peers[id]
	return known && g.options.Boot()-p.heard < g.silence()
}

// silence returns for how long a peer that is there may not be heard. Each round
// reaches fanout peers, so the interval grows with the number of daemons.
func (g *Gossip) silence() time.Duration {
	interval := period * time.Duration(len(g.peers)) / fanout
	return max(silence, patience*interval)
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.options.Conn.Close() })
	defer stop()
	go g.send(ctx)
	return g.receive(ctx)
}

func (g *Gossip) send(ctx context.Context) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.Round()
		}
	}
}

// Round sends one message to the peers whose turn it is.
func (g *Gossip) Round() {
	message := g.options.Tell()
	message.From = g.options.Self
	data, err := json.Marshal(message)
	if err != nil || len(data) > datagram {
		g.options.Log.Info("message not sent", "bytes", len(data))
		return
	}
	for _, address := range g.targets() {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.odd("resolve peer", err) // its record names nobody
			continue
		}
		_, _ = g.options.Conn.WriteTo(data, to) // the next round makes up for it
	}
}

// targets returns the addresses of the next peers in turn.
func (g *Gossip) targets() []string {
	addresses := map[string]bool{}
	for id, d := range g.options.Listed() {
		if id != g.options.Self.ID && d.Peer != "" {
			addresses[d.Peer] = true
		}
	}
	g.mu.Lock()
	now := g.options.Boot()
	for id, p := range g.peers {
		if now-p.heard > forgotten {
			delete(g.peers, id)
			continue
		}
		g.miss(p, now)
		addresses[p.message.From.Peer] = true
	}
	g.mu.Unlock()
	return g.slice(addresses)
}

// miss logs that a peer fell silent.
func (g *Gossip) miss(p *peer, now time.Duration) {
	if p.away || now-p.heard < g.silence() {
		return
	}
	p.away = true
	g.options.Log.Info("daemon silent", "peer", p.message.From.ID, "domain", p.message.From.Domain, "silent_ms", (now - p.heard).Milliseconds())
}

func (g *Gossip) slice(addresses map[string]bool) []string {
	var all []string
	for a := range addresses {
		all = append(all, a)
	}
	if len(all) <= fanout {
		return all
	}
	// Map order differs from round to round, so every peer gets its turn.
	return all[:fanout]
}

func (g *Gossip) receive(ctx context.Context) error {
	buffer := make([]byte, datagram)
	for {
		n, _, err := g.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &Error{Op: "receive", Kind: Closed, Err: err}
		}
		if err != nil {
			g.odd("receive", err)
			continue
		}
		var message Message
		err = json.Unmarshal(buffer[:n], &message)
		if err == nil && message.From.ID == "" {
			err = errNameless
		}
		if err != nil {
			g.odd("decode message", err)
			continue
		}
		g.take(message)
	}
}

var errNameless = errors.New("message without a sender")

// odd logs what is passed over, at most one each oddEach: anybody may send
// datagrams, and a record that can't be used is met at every round.
func (g *Gossip) odd(op string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passed++
	now := g.options.Boot()
	if now < g.oddNext {
		return
	}
	g.oddNext = now + oddEach
	g.options.Log.Info("datagrams passed over", "op", op, "error", err.Error(), "passed", g.passed)
}

func (g *Gossip) take(message Message) {
	if message.From.ID == g.options.Self.ID {
		return
	}
	g.mu.Lock()
	p, known := g.peers[message.From.ID]
	if !known {
		p = &peer{}
		g.peers[message.From.ID] = p
	}
	news := !known || p.away
	silent := g.options.Boot() - p.heard
	p.message = message
	p.heard += silent
	p.away = false
	g.mu.Unlock()
	if !known {
		silent = 0
	}
	if news {
		g.options.Log.Info("daemon heard", "peer", message.From.ID, "domain", message.From.Domain, "silent_ms", silent.Milliseconds())
	}
	g.options.Hear(message)
}
