package pick

import (
	"time"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/watch"
)

// ownAccounts is the number of client accounts whose work a daemon reports by name.
const ownAccounts = 8

// Report returns the part of the gossip message that describes the requests of
// this daemon, its queues and the endpoints.
func (p *Placer) Report() gossip.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	m := gossip.Message{Endpoints: map[string]gossip.EndpointLoad{}, Demand: map[string]int{}, Queues: map[string]gossip.Queue{}}
	v := p.options.Snapshot()
	for id, s := range p.endpoints {
		if p.isIdle(s, now) {
			continue
		}
		if load := p.reportLoad(v, s, now); load != (gossip.EndpointLoad{}) {
			m.Endpoints[id] = load
		}
	}
	for key, q := range p.queues {
		if n := q.demand(now); n > 0 {
			m.Demand[key] = n
		}
		own := q.report(now)
		own.FreeRate = roundTenths(own.FreeRate)
		own.ArrivalRate = roundTenths(own.ArrivalRate)
		if own != (gossip.Queue{}) {
			m.Queues[key] = own
		}
	}
	m.Retries = p.reportRetries(now)
	m.Work = p.usage.Report(p.options.Boot(), ownAccounts)
	return m
}

// isIdle reports whether there is nothing to report of an endpoint, which holds for most of
// a large fleet: this daemon has no request there, and nothing is known of it.
func (p *Placer) isIdle(s *endpointState, now time.Time) bool {
	if s.running != 0 || s.unread != 0 || s.tokens != 0 || s.limit.known || s.learned.tells || now.Before(s.suspectedUntil) {
		return false
	}
	_, leaves := p.leaving[s.id]
	return !leaves
}

// reportLoad returns what this daemon reports of one endpoint.
func (p *Placer) reportLoad(v *watch.Snapshot, s *endpointState, now time.Time) gossip.EndpointLoad {
	load := gossip.EndpointLoad{
		Running: s.running, UnreadTokens: s.unread, Tokens: s.tokens, Stalled: p.reportsStalled(v, s, now),
		Leaving: p.reportLeaving(v, s.id), Slow: p.isSlow(v, s), Limit: p.reportLimit(s), Learned: p.reportLearned(s),
	}
	if s.noProgress(now) && !p.options.Reached() {
		load.Running, load.UnreadTokens, load.Tokens = 0, 0, 0 // what hangs at a path that may be cut is no load there
	}
	if s.limit.inForce() {
		load.Sent = s.recentSends(now)
	}
	return load
}

// heardWithin is the time within which some endpoint made progress, if the path to them is
// sound and requests are in progress.
const heardWithin = 250 * time.Millisecond

// reportsStalled reports whether this daemon tells the others that an endpoint is stalled.
// It doesn't if all are silent, as far as it sees: then the path may be cut.
func (p *Placer) reportsStalled(v *watch.Snapshot, s *endpointState, now time.Time) bool {
	if !s.locallyStalled(now) || p.isPlain(v, s.id) || !p.options.Reached() {
		return false
	}
	return now.Before(s.suspectedUntil) || now.Sub(p.progressed) < heardWithin || p.used() == 1
}

// used returns the number of endpoints at which requests of this daemon are in progress.
func (p *Placer) used() (n int) {
	for _, s := range p.endpoints {
		if s.running > 0 {
			n++
		}
	}
	return n
}

// Progresses reports whether requests are in progress at an endpoint, here or at other
// daemons, and nobody finds it stalled.
func (p *Placer) Progresses(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.endpoints[id]
	now := time.Now()
	return known && s.running+s.othersRunning > 0 && !s.stalled(now)
}

// Update replaces the load of the other daemons by that in their newest messages.
// A reported stall counts until stallTimeout after the last Update that holds a
// report of it. The argument own holds the groups that this daemon announces if it is
// the keeper.
func (p *Placer) Update(messages []gossip.Message, own map[string]gossip.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range p.endpoints {
		s.othersRunning = 0
		s.othersUnread = 0
		s.othersTokens = 0
		s.othersSent = 0
		s.learned.others = gossip.Learned{}
	}
	p.heard = 1 + len(messages)
	p.listed = max(p.heard, p.options.Listed())
	for _, q := range p.queues {
		q.others = gossip.Queue{}
	}
	p.recordGroups(own)
	work := map[string]float64{}
	for _, m := range messages {
		p.recordGroups(m.Groups)
		for key, other := range m.Queues {
			p.queue(key).addPeer(other)
		}
		for id, other := range m.Endpoints {
			p.addLoad(id, other, m, now)
		}
		for account, v := range m.Work {
			work[account] += v
		}
	}
	p.usage.Hear(work)
	p.hearRetries(messages, now)
	p.dropUnlisted(now)
	p.dropPeers(now)
	p.dropLeaving(now)
	p.updateLearned()
	p.dispatch(now)
}

// addLoad adds what another daemon reports of one endpoint in its message.
func (p *Placer) addLoad(id string, other gossip.EndpointLoad, m gossip.Message, now time.Time) {
	s := p.endpoint(id)
	s.othersRunning += other.Running
	s.othersUnread += other.UnreadTokens
	s.othersTokens += other.Tokens
	s.othersSent += other.Sent
	p.adoptLimit(s, other.Limit, m.From.ID)
	s.learned.hear(other.Learned, m.From.ID)
	if other.Leaving != 0 {
		p.recordLeaving(id, other.Leaving, m.From.ID)
	}
	if !other.Stalled {
		return
	}
	if !s.reportedStalled(now) {
		p.options.Log.Info("endpoint said to stand still", "endpoint", id, "peer", m.From.ID, "revision", m.Revision)
	}
	s.reportedStalledUntil = now.Add(stallTimeout)
}

// recordGroups stores and logs announced groups that are new or changed. It ignores
// those with a lower epoch than stored.
func (p *Placer) recordGroups(groups map[string]gossip.Group) {
	for id, g := range groups {
		old := p.announced[id]
		if g.Epoch < old.Epoch || g == old {
			continue
		}
		p.announced[id] = g
		p.cache = servingCache{}
		p.options.Log.Info("group told", "endpoint", id, "group", g.Name, "epoch", g.Epoch, "model", g.Model, "open", g.Open)
	}
}

// dropUnlisted removes the state of endpoints that the platform lists no more, at which
// no request of this daemon is in progress, and whose pause is over. An entry may be
// missing for a moment.
func (p *Placer) dropUnlisted(now time.Time) {
	v := p.options.Snapshot()
	for id, s := range p.endpoints {
		if _, listed := v.Endpoints[id]; !listed && s.running == 0 && !now.Before(s.pausedUntil) {
			delete(p.endpoints, id)
			delete(p.announced, id)
			p.cache = servingCache{}
		}
	}
}
