package gossip

import (
	"slices"
	"strings"
	"time"
)

const (
	aliveMemory = 50 * time.Millisecond  // least time between two views that are made because a message came
	viewMemory  = 500 * time.Millisecond // for which a view is used again while no message comes
)

// aliveView is a result of Alive. It is kept until a message comes or something in it
// lapses: it holds a message for each daemon, and is asked for many times a second.
type aliveView struct {
	messages []Message
	made     time.Duration // boot clock
	until    time.Duration // boot clock: when something in it lapses
	changed  bool          // a message came or a peer was forgotten since it was made
	listed   int           // daemons that the store listed when it was made
}

// expired reports whether the view has to be made anew, as the store lists a number of
// daemons.
func (v *aliveView) expired(now time.Duration, listed int) bool {
	return v.messages == nil || now >= v.until || (v.changed || listed != v.listed) && now-v.made >= aliveMemory
}

// lapses records that something in the view lapses at a reading of the boot clock.
func (v *aliveView) lapses(at time.Duration) { v.until = min(v.until, at) }

// Alive returns what this daemon knows of the others: messages whose loads add up to
// those of all other daemons, and for each daemon whose load is in another one's
// message a message without load. A message that came within aliveMemory may not be in it
// yet. It must not be changed. The same slice is returned as long as it holds.
func (g *Gossip) Alive() []Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	if listed := len(g.options.Listed()); g.alive.expired(now, listed) {
		g.alive = aliveView{made: now, until: now + viewMemory, listed: listed}
		g.alive.messages = g.view(now)
	}
	return slices.Clip(g.alive.messages)
}

// Delay returns the mean time until a change of another daemon's load is known here: half
// of the time between two messages on each part of its way.
func (g *Gossip) Delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	if p, known := g.peers[g.relay]; known && p.message.Scope == All && now-p.lastHeard < p.silenceLimit() {
		return (followerRounds + 1 + followerCycle) * period / 2
	}
	sum, n := time.Duration(0), 0
	for _, p := range g.peers {
		if g.counts(p.message) && now-p.lastHeard < p.silenceLimit() {
			sum += p.interval
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(2*n)
}

// view returns the messages that Alive returns. The lock must be held.
func (g *Gossip) view(now time.Duration) []Message {
	loads := []Message{}
	members := make(map[string]Member, len(g.peers))
	following := g.followedSum(now)
	if following != nil {
		loads = append(loads, following.without(g.sent))
		g.noteAges(*following, now)
	}
	for _, id := range sortedPeers(g.peers) {
		p := g.peers[id]
		silentAt := p.lastHeard + p.silenceLimit()
		if now >= silentAt {
			continue
		}
		g.alive.lapses(silentAt)
		for _, member := range p.members(now) {
			if known, ok := members[member.ID]; !ok || member.Age < known.Age {
				members[member.ID] = member
			}
		}
		if following == nil && g.counts(p.message) {
			loads = append(loads, p.message.aged(now-p.lastHeard))
			g.noteAges(p.message, now)
		}
	}
	return append(loads, g.stubs(loads, members, now)...)
}

// noteAges lets the view lapse soon if a message states ages, which count from when the
// view was made.
func (g *Gossip) noteAges(m Message, now time.Duration) {
	if m.ages() {
		g.alive.lapses(now + aliveMemory)
	}
}

// counts reports whether the load of a message is in no other one's.
func (g *Gossip) counts(m Message) bool {
	return m.Scope == Part || m.Scope == Own && (m.Relay == "" || m.Relay == g.options.Self.ID)
}

// followedSum returns the newest message of the relay that this daemon follows, or nil.
// The lock must be held.
func (g *Gossip) followedSum(now time.Duration) *Message {
	p, known := g.peers[g.relay]
	if !known || p.message.Scope != All || now-p.lastHeard >= p.silenceLimit() {
		return nil
	}
	sum := p.message.aged(now - p.lastHeard)
	return &sum
}

// stubs returns a message without load for each daemon that is alive and whose own
// message is not in loads, by what is youngest of it. The lock must be held.
func (g *Gossip) stubs(loads []Message, members map[string]Member, now time.Duration) []Message {
	known := make(map[string]bool, len(members)+len(g.peers)+1)
	known[g.options.Self.ID] = true
	for _, m := range loads {
		known[m.From.ID] = true
	}
	listed := g.options.Listed()
	stubs := make([]Message, 0, len(members)+len(g.peers))
	for _, id := range sortedPeers(g.peers) {
		p := g.peers[id]
		if known[id] || now-p.lastHeard >= p.silenceLimit() {
			continue
		}
		known[id] = true
		stubs = append(stubs, Message{From: p.message.From, Ready: p.message.Ready, Fresh: p.message.Fresh, Cut: p.message.Cut, Blind: p.message.Blind})
	}
	for id, member := range members {
		from, ok := listed[id]
		if !ok || known[id] {
			continue
		}
		known[id] = true
		stubs = append(stubs, Message{From: from, Ready: member.Ready, Fresh: member.Fresh, Cut: member.Cut, Blind: member.Blind})
	}
	slices.SortFunc(stubs, func(a, b Message) int { return strings.Compare(a.From.ID, b.From.ID) })
	return stubs
}

func sortedPeers(peers map[string]*peer) []string {
	ids := make([]string, 0, len(peers))
	for id := range peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
