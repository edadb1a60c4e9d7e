package gossip

import (
	"hash/fnv"
	"slices"
	"time"

	"clementinehead.example/chead/fair"
	"clementinehead.example/chead/site"
)

const (
	relaysPerDomain = 2                       // relays of each failure domain
	unheardMemory   = 20 * time.Second        // for which a relay that was not heard is passed over; the store's record of a dead daemon lapses sooner
	rebalanceTime   = 10 * time.Second        // after which a follower returns to the relay that it prefers
	relayGrace      = 1200 * time.Millisecond // for a relay to answer a new follower
	followerRounds  = 2                       // a follower reports in each of so many rounds
	followerCycle   = 4                       // a relay sends to each follower in one of so many rounds at least
	fullRounds      = 3                       // a relay's message is Full in each of so many rounds
	groupNews       = 1500 * time.Millisecond // for which a changed group is in every message of a relay
)

// groupState is a group as this relay last passed it on.
type groupState struct {
	group     Group
	changedAt time.Duration // boot clock
}

// roundFollower sends this daemon's own message to its relay.
func (g *Gossip) roundFollower(relays []site.Daemon) {
	relay := g.chooseRelay(relays)
	if g.round%followerRounds != 0 {
		return
	}
	own := g.ownMessage()
	own.Relay = relay.ID
	g.mu.Lock()
	g.sent = own
	g.mu.Unlock()
	g.send(own, []string{relay.Peer})
}

// Relays returns the relays of this daemon's failure domain, or none if it is one of
// them: the first relaysPerDomain daemons, by site.Daemon.Precedes, among those that the
// store lists, are not known to leave or to have lost the store, and were heard when they
// were last followed. The one that this daemon prefers comes first; the preference differs
// between daemons, to share the load.
func (g *Gossip) Relays() []site.Daemon {
	self := g.options.Self
	unfit := map[string]bool{self.ID: true}
	for _, m := range g.Alive() {
		if !m.Fresh {
			unfit[m.From.ID] = true
		}
	}
	var candidates []site.Daemon
	if g.options.Fresh() {
		candidates = append(candidates, self)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	for id, d := range g.options.Listed() {
		if d.Domain == self.Domain && !unfit[id] && now >= g.unheard[id] {
			candidates = first(append(candidates, d))
		}
	}
	relays := first(candidates)
	if slices.Contains(relays, self) || len(relays) == 0 {
		return nil
	}
	preferred := int(hashID(self.ID) % uint32(len(relays)))
	return append(slices.Clone(relays[preferred:]), relays[:preferred]...)
}

// first returns the first relaysPerDomain daemons by site.Daemon.Precedes, in order. It
// changes the order of its argument.
func first(daemons []site.Daemon) []site.Daemon {
	slices.SortFunc(daemons, func(a, b site.Daemon) int {
		switch {
		case a.Precedes(b):
			return -1
		case b.Precedes(a):
			return 1
		}
		return 0
	})
	return daemons[:min(relaysPerDomain, len(daemons))]
}

func hashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // writing to a hash does not fail
	return h.Sum32()
}

// chooseRelay returns the relay to follow: the present one as long as it is among the
// relays and is heard, and otherwise the first one. A relay that is not heard is passed
// over for unheardMemory. After rebalanceTime it returns to the preferred one, so that
// the others that take over from a relay for a moment don't keep all its followers.
func (g *Gossip) chooseRelay(relays []site.Daemon) site.Daemon {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Boot()
	i := slices.IndexFunc(relays, func(d site.Daemon) bool { return d.ID == g.relay })
	heard := g.followedSum(now) != nil
	preferred := i == 0 || now-g.relaySince < rebalanceTime
	if i >= 0 && (heard && preferred || now-g.relaySince < relayGrace) {
		return relays[i]
	}
	if i >= 0 && !heard {
		g.unheard[g.relay] = now + unheardMemory
		relays = slices.Concat(relays[i+1:], relays[:i+1])
	}
	g.options.Log.Info("relay chosen", "peer", relays[0].ID, "before", g.relay)
	g.relay = relays[0].ID
	g.relaySince = now
	g.alive.changed = true
	return relays[0]
}

// roundRelay sends the load of this daemon and its followers to the other relays, and
// that of all daemons to its followers. Relays are those that send messages of a relay.
// One that is alone in its failure domain sends to more followers in a round, so that
// none takes it for silent.
func (g *Gossip) roundRelay() {
	own := g.ownMessage()
	g.mu.Lock()
	g.alive.changed = g.alive.changed || g.relay != ""
	g.relay = ""
	g.sent = Message{}
	part, all := g.sums(own)
	relays, followers := g.audience()
	g.mu.Unlock()
	relays = g.withListed(relays, followers)
	full := g.round%fullRounds == 0
	g.send(g.reduce(part, full), rotate(relays, fanout/2, &g.nextRelay))
	most := max(fanout/2, (len(followers)+followerCycle-1)/followerCycle)
	g.send(g.reduce(all, full), rotate(followers, most, &g.nextFollower))
}

// sums returns the load of this daemon and its followers, and that of all daemons. The
// lock must be held.
func (g *Gossip) sums(own Message) (part, all Message) {
	now := g.options.Boot()
	part = emptySum(own)
	part.Scope = Part
	part.add(own)
	part.Members = []Member{{ID: own.From.ID, Ready: own.Ready, Fresh: own.Fresh, Cut: own.Cut, Blind: own.Blind}}
	for _, id := range sortedPeers(g.peers) {
		p := g.peers[id]
		if p.message.Scope != Own || p.message.Relay != own.From.ID || now-p.lastHeard >= p.silenceLimit() {
			continue
		}
		part.add(p.message.aged(now - p.lastHeard))
		part.Members = append(part.Members, Member{ID: id, Ready: p.message.Ready, Fresh: p.message.Fresh, Cut: p.message.Cut, Blind: p.message.Blind, Age: tenths(now - p.lastHeard)})
	}
	all = emptySum(own)
	all.Scope = All
	all.add(part)
	all.Members = slices.Clone(part.Members)
	for _, id := range sortedPeers(g.peers) {
		p := g.peers[id]
		if p.message.Scope != Part || now-p.lastHeard >= p.silenceLimit() {
			continue
		}
		all.add(p.message.aged(now - p.lastHeard))
		all.Members = append(all.Members, p.members(now)...)
	}
	return part, all
}

// audience returns the addresses of the other relays and of the followers of this one.
// The lock must be held.
func (g *Gossip) audience() (relays, followers []string) {
	now := g.options.Boot()
	for _, id := range sortedPeers(g.peers) {
		p := g.peers[id]
		switch {
		case now-p.lastHeard >= p.silenceLimit():
		case p.message.Scope != Own:
			relays = append(relays, p.message.From.Peer)
		case p.message.Relay == g.options.Self.ID:
			followers = append(followers, p.message.From.Peer)
		}
	}
	return relays, followers
}

// withListed adds the first listed daemons of each failure domain, which are the likely
// relays, and another one at random, so that parts of a fleet that lost each other find
// each other.
func (g *Gossip) withListed(relays, followers []string) []string {
	known := map[string]bool{g.options.Self.Peer: true, "": true}
	for _, address := range append(slices.Clone(relays), followers...) {
		known[address] = true
	}
	domains := map[string][]site.Daemon{}
	var likely []site.Daemon
	for _, d := range g.options.Listed() { // in random order
		if len(likely) == 0 {
			likely = append(likely, d)
		}
		domains[d.Domain] = first(append(domains[d.Domain], d))
	}
	for _, daemons := range domains {
		likely = append(likely, daemons...)
	}
	for _, d := range likely {
		if !known[d.Peer] {
			known[d.Peer] = true
			relays = append(relays, d.Peer)
		}
	}
	slices.Sort(relays)
	return relays
}

// rotate returns at most so many of the addresses, in turn.
func rotate(addresses []string, most int, next *int) []string {
	if len(addresses) <= most {
		return addresses
	}
	chosen := make([]string, most)
	for i := range chosen {
		chosen[i] = addresses[(*next+i)%len(addresses)]
	}
	*next = (*next + most) % len(addresses)
	return chosen
}

// maxAccounts is the number of client accounts whose work a relay's message names.
const maxAccounts = 16

// reduce returns a relay's message without what need not be in each round: members, the
// work of client accounts, and groups that have not changed lately.
func (g *Gossip) reduce(m Message, full bool) Message {
	now := g.options.Boot()
	recent := map[string]Group{}
	for leader, group := range m.Groups {
		if known, ok := g.groups[leader]; !ok || known.group != group {
			g.groups[leader] = groupState{group, now}
		}
		if full || now-g.groups[leader].changedAt < groupNews {
			recent[leader] = group
		}
	}
	if m.Scope == All {
		g.forgetGroups(m.Groups)
	}
	m.Groups = recent
	m.Full = full
	m.Work = fair.Trim(m.Work, maxAccounts)
	if !full {
		m.Members = nil
		m.Work = nil
	}
	return m
}

// forgetGroups forgets the groups that are gone.
func (g *Gossip) forgetGroups(present map[string]Group) {
	for leader := range g.groups {
		if _, ok := present[leader]; !ok {
			delete(g.groups, leader)
		}
	}
}
