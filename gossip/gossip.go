package gossip

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/site"
)

const (
	period             = 100 * time.Millisecond // between two rounds
	silenceTimeout     = 800 * time.Millisecond // a peer not heard for this long, eight periods, is silent
	silenceIntervals   = 5                      // mean intervals between the messages of a peer, used instead of silenceTimeout where they take longer
	maxSilence         = 3 * time.Second        // longest time after which a peer that is not heard is silent
	intervalWeight     = 0.2                    // of the newest interval in the mean interval between messages
	fanout             = 16                     // peers that one round sends to
	maxDatagram        = 60_000                 // size limit of a message, in bytes; a UDP datagram over IPv4 carries at most 65,507
	discardLogInterval = 5 * time.Second        // least time between two log lines about discarded datagrams
	forgetAfter        = 30 * time.Second       // a peer silent for this long is removed
	regularMessages    = 3                      // without a silence in between, from which it is logged that a peer is heard and falls silent; others are met at random
)

// Options configure a Gossip.
type Options struct {
	Self    site.Daemon
	Conn    net.PacketConn
	Boot    func() time.Duration // boot clock
	Log     logr.Logger
	Listed  func() map[string]site.Daemon // daemons listed in the store
	Fresh   func() bool                   // whether this daemon may be a relay, as Message.Fresh
	Report  func() Message                // returns the message to send; Round sets From
	Receive func(Message)                 // called for each message received
}

// Gossip exchanges messages with the other daemons. Use New.
type Gossip struct {
	options        Options
	mu             sync.Mutex
	peers          map[string]*peer
	discarded      int                      // datagrams and daemon records discarded
	nextDiscardLog time.Duration            // boot clock: until then, discarded datagrams are counted but not logged
	relay          string                   // ID of the relay that this daemon follows, empty if it is one
	relaySince     time.Duration            // boot clock: when it began to follow it
	unheard        map[string]time.Duration // relays that were not heard, by ID: the boot clock until which they are passed over
	sent           Message                  // this daemon's latest message to its relay
	alive          aliveView                // latest result of Alive

	// Used by Round alone.
	round        int
	nextRelay    int                   // where the next round goes on among the relays
	nextFollower int                   // the same among the followers
	groups       map[string]groupState // groups passed on, by leader
}

// peer is another daemon that has been heard.
type peer struct {
	message      Message
	lastHeard    time.Duration // boot clock
	fullAt       time.Duration // boot clock: when its message last had all members and groups
	interval     time.Duration // mean time between its messages, smoothed
	silent       bool          // it has fallen silent
	silentBefore time.Duration // its silence before it was heard again, 0 for a new one
	messages     int           // heard since its last silence
}

// silenceLimit returns how long the peer may be silent and still count as alive.
func (p *peer) silenceLimit() time.Duration {
	return min(maxSilence, max(silenceTimeout, silenceIntervals*p.interval))
}

// New returns a Gossip that has received no message.
func New(o Options) *Gossip {
	return &Gossip{options: o, peers: map[string]*peer{}, groups: map[string]groupState{}, unheard: map[string]time.Duration{}}
}

// IsAlive reports whether a daemon has been heard within the silence limit.
func (g *Gossip) IsAlive(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.peers[id]
	return known && g.options.Boot()-p.lastHeard < p.silenceLimit()
}

// Run sends and receives messages until the context ends. It closes the socket.
func (g *Gossip) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.options.Conn.Close() })
	defer stop()
	go g.runRounds(ctx)
	return g.receive(ctx)
}

// runRounds starts a round each period until the context ends.
func (g *Gossip) runRounds(ctx context.Context) {
	for clock.Beat(ctx, period) {
		g.Round()
	}
}

// Round sends the messages of one period. A follower sends its own message to its relay
// in some rounds; a relay sends to at most fanout other relays and followers.
func (g *Gossip) Round() {
	g.round++
	g.forgetSilent()
	if relays := g.Relays(); len(relays) > 0 {
		g.roundFollower(relays)
		return
	}
	g.roundRelay()
}

// ownMessage returns the message that holds this daemon's own load.
func (g *Gossip) ownMessage() Message {
	message := g.options.Report()
	message.From = g.options.Self
	return message
}

// send sends a message to the given addresses.
func (g *Gossip) send(message Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := encode(message)
	if err != nil || len(data) > maxDatagram {
		g.options.Log.Info("message not sent", "bytes", len(data))
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.logDiscarded("resolve peer", err) // the address in its record is invalid
			continue
		}
		_, _ = g.options.Conn.WriteTo(data, to) // a lost message is replaced by that of a later round
	}
}

// forgetSilent logs the peers that have become silent and removes those that have been
// silent for longer than forgetAfter, and relays that are no longer passed over.
func (g *Gossip) forgetSilent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	maps.DeleteFunc(g.unheard, func(_ string, until time.Duration) bool { return now >= until })
	for id, p := range g.peers {
		if now-p.lastHeard > forgetAfter {
			delete(g.peers, id)
			g.alive.changed = true
			continue
		}
		g.noteSilent(p, now)
	}
}

// noteSilent notes that a peer has become silent, and logs it if it was heard regularly.
func (g *Gossip) noteSilent(p *peer, now time.Duration) {
	if p.silent || now-p.lastHeard < p.silenceLimit() {
		return
	}
	regular := p.messages >= regularMessages
	p.silent = true
	p.messages = 0
	if !regular || !g.counts(p.message) {
		return
	}
	g.options.Log.Info("daemon silent", "peer", p.message.From.ID, "domain", p.message.From.Domain, "silent_ms", (now - p.lastHeard).Milliseconds())
}

// receive handles messages until the context ends. It discards invalid datagrams.
func (g *Gossip) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &Error{Op: "receive", Kind: Closed, Err: err}
		}
		if err != nil {
			g.logDiscarded("receive", err)
			continue
		}
		message, err := decode(buffer[:n])
		if err != nil {
			g.logDiscarded("decode message", err)
			continue
		}
		g.handle(message)
	}
}

var errNoSender = errors.New("message without a sender")

// logDiscarded counts and logs a discarded datagram or daemon record. It logs at
// most one per discardLogInterval, because anyone may send datagrams, and an
// invalid record recurs in each round.
func (g *Gossip) logDiscarded(op string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discarded++
	now := g.options.Boot()
	if now < g.nextDiscardLog {
		return
	}
	g.nextDiscardLog = now + discardLogInterval
	g.options.Log.Info("datagrams passed over", "op", op, "error", err.Error(), "passed", g.discarded)
}

// handle stores a message as the newest of its sender, and logs if the sender, which was
// new or silent, is now heard regularly. It ignores messages of this daemon itself.
func (g *Gossip) handle(message Message) {
	if message.From.ID == g.options.Self.ID {
		return
	}
	g.mu.Lock()
	p, known := g.peers[message.From.ID]
	if !known {
		p = &peer{}
		g.peers[message.From.ID] = p
	}
	silent := g.options.Boot() - p.lastHeard
	switch {
	case p.silent:
		p.silentBefore = silent
	case known:
		p.interval += time.Duration(intervalWeight * float64(silent-p.interval))
	}
	p.lastHeard += silent
	if message.complete() {
		p.fullAt = p.lastHeard
	}
	p.message = message.merge(p.message, p.lastHeard-p.fullAt)
	p.silent = false
	p.messages++
	g.alive.changed = true
	appeared := p.messages == regularMessages
	silentBefore := p.silentBefore
	g.mu.Unlock()
	if appeared && g.counts(message) {
		g.options.Log.Info("daemon heard", "peer", message.From.ID, "domain", message.From.Domain, "silent_ms", silentBefore.Milliseconds())
	}
	g.options.Receive(message)
}
