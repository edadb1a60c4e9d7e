package gossip

import (
	"slices"
	"strings"
	"time"
)

// aliveMemory is the time for which the result of Alive is used again.
const aliveMemory = 50 * time.Millisecond

// Alive returns what this daemon knows of the others: messages whose loads add up to
// those of all other daemons, and for each daemon whose load is in another one's
// message a message without load. It may be aliveMemory old. Its messages must not be
// changed.
func (g *Gossip) Alive() []Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	if g.alive == nil || now-g.aliveAt >= aliveMemory {
		g.alive = g.view(now)
		g.aliveAt = now
	}
	return slices.Clip(g.alive)
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
	members := map[string]Member{}
	following := g.followedSum(now)
	if following != nil {
		loads = append(loads, following.without(g.sent))
	}
	for _, id := range sortedPeers(g.peers) {
		p := g.peers[id]
		if now-p.lastHeard >= p.silenceLimit() {
			continue
		}
		for _, member := range p.members(now) {
			if known, ok := members[member.ID]; !ok || member.Age < known.Age {
				members[member.ID] = member
			}
		}
		if following == nil && g.counts(p.message) {
			loads = append(loads, p.message.aged(now-p.lastHeard))
		}
	}
	return append(loads, g.stubs(loads, members, now)...)
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
	known := map[string]bool{g.options.Self.ID: true}
	for _, m := range loads {
		known[m.From.ID] = true
	}
	listed := g.options.Listed()
	var stubs []Message
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
