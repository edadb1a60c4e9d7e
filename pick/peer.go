package pick

import (
	"time"

	"clementinehead.example/chead/site"
)

// cutOffFor reports whether a request can't be sent to endpoints from here, as this daemon
// is cut off from them or its configuration is too old. A request that another daemon sent
// here goes through no third one.
func (p *Placer) cutOffFor(request Request) bool {
	return !request.Relayed && (request.Outdated || p.options.CutOff())
}

// peerSlot returns a slot at another daemon that the request is to be sent through, or nil
// if there is none: of two at random the one with fewer requests of this daemon. That daemon
// queues and limits requests itself.
func (p *Placer) peerSlot(request Request, now time.Time) *Slot {
	var candidates []site.Daemon
	for _, d := range p.options.Peers() {
		if s, known := p.peers[d.ID]; !request.Avoid[d.ID] && (!known || !now.Before(s.suspectedUntil)) {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	draw := func() site.Daemon { return candidates[int(p.options.Random()*float64(len(candidates)))] }
	chosen := draw()
	if other := draw(); p.peer(other.ID).running < p.peer(chosen.ID).running {
		chosen = other
	}
	s := p.peer(chosen.ID)
	s.begin(now)
	s.queue = p.relayed
	p.relayed.active++
	slot := &Slot{
		Endpoint: site.Endpoint{ID: chosen.ID, Address: chosen.Peer, Domain: chosen.Domain, Service: request.Service}, Peer: true,
		placer: p, state: s, queue: p.relayed, lastProgress: now, acquired: now,
	}
	s.unanswered = append(s.unanswered, slot)
	return slot
}

// peer returns the state of another daemon, which it makes on first use.
func (p *Placer) peer(id string) *endpointState {
	s, ok := p.peers[id]
	if !ok {
		s = &endpointState{id: id, late: p.lateSince}
		p.peers[id] = s
	}
	return s
}

// dropPeers removes the state of daemons that no request is being sent through.
func (p *Placer) dropPeers(now time.Time) {
	for id, s := range p.peers {
		if s.running == 0 && !now.Before(s.suspectedUntil) {
			delete(p.peers, id)
		}
	}
}
