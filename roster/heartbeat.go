package roster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

// sendHeartbeats sends heartbeats until the context ends.
func (r *Roster) sendHeartbeats(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrent)
	group.Go(func() error {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				// The tick's value is the time when it was due, which may be past.
				now := time.Now()
				r.expire(now, now.Sub(last) > 3*heartbeatInterval)
				last = now
				r.sendDue(ctx, group)
			}
		}
	})
	return group.Wait()
}

// expire marks daemons dead that were suspect for suspicionTimeout, and forgets
// those that were dead for tombstoneTTL. If this daemon itself was paused, it
// first restarts the timeout of suspect ones, since they may have refuted the
// suspicion meanwhile.
func (r *Roster) expire(now time.Time, paused bool) {
	r.mu.Lock()
	if paused {
		r.table.restartSuspicions(now)
	}
	dead := r.table.expire(now)
	for _, id := range dead {
		r.logChange(id)
	}
	r.mu.Unlock()
	if len(dead) > 0 {
		r.announceSoon()
	}
}

// sendDue starts the heartbeats of one round.
func (r *Roster) sendDue(ctx context.Context, group *errgroup.Group) {
	for _, peer := range r.nextPeers() {
		group.TryGo(func() error {
			r.probeOrSuspect(ctx, peer)
			return nil
		})
	}
}

// nextPeers returns the recipients of the next round of heartbeats: one of the
// ring successors and, in some rounds, a random peer and a dead one, which may
// be reachable again after a partition.
func (r *Roster) nextPeers() []*wire.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*wire.Daemon
	if next := r.table.successor(r.round); next != nil {
		due = append(due, next)
	}
	if r.round%randomEvery == 0 {
		due = append(due, r.randomPeers(notDead, 1)...)
	}
	if r.round%deadEvery == 0 {
		due = append(due, r.randomPeers(dead, 1)...)
	}
	r.round++
	return due
}

// randomPeers returns up to n random peers for which keep returns true. The
// caller holds the lock.
func (r *Roster) randomPeers(keep func(*wire.Daemon) bool, n int) []*wire.Daemon {
	peers := r.table.peers(keep)
	r.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// probeOrSuspect sends a heartbeat to a peer. If the peer answers neither it nor
// the heartbeats that others send on behalf of this daemon, the peer becomes
// suspect, or dead if it was leaving. Nothing changes if it is already dead, or if
// a newer entry of it arrived meanwhile.
func (r *Roster) probeOrSuspect(ctx context.Context, peer *wire.Daemon) {
	if r.heartbeat(ctx, peer.PeerAddress) || ctx.Err() != nil {
		return
	}
	if peer.Standing == wire.Standing_STANDING_DEAD || r.probeIndirectly(ctx, peer) || ctx.Err() != nil {
		return
	}
	standing := wire.Standing_STANDING_SUSPECT
	if peer.Standing == wire.Standing_STANDING_LEAVING {
		standing = wire.Standing_STANDING_DEAD
	}
	r.mu.Lock()
	known, ok := r.table.members[peer.Id]
	current := ok && compare(known.daemon, peer) == 0
	changed := current && r.table.setStanding(peer.Id, standing, time.Now())
	if changed {
		r.logChange(peer.Id)
	}
	r.mu.Unlock()
	if changed {
		r.metrics.heartbeats.WithLabelValues("suspected").Inc()
		r.announceSoon()
	}
}

// heartbeat exchanges one heartbeat with the daemon at an address and reports
// whether it answered.
func (r *Roster) heartbeat(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	response, err := r.options.Client(address).Beat(ctx, r.beatRequest())
	if err != nil {
		r.metrics.heartbeats.WithLabelValues("failed").Inc()
		return false
	}
	r.metrics.heartbeats.WithLabelValues("answered").Inc()
	r.mergeBeat(response.From, response.Changed)
	r.compareDigests(response.From, response.Digest, sent)
	if r.needsList(response.RosterHash) {
		r.list(ctx, address)
	}
	return true
}

// beatRequest returns the content of a heartbeat.
func (r *Roster) beatRequest() *wire.BeatRequest {
	digest := r.digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.BeatRequest{
		From:       r.table.members[r.table.self].daemon,
		Changed:    r.table.updates(maxPiggyback),
		RosterHash: r.table.rosterHash,
		Digest:     digest,
	}
}

// digest returns the digest of the documents held, or nil.
func (r *Roster) digest() *wire.Digest {
	if r.options.Digest == nil {
		return nil
	}
	return r.options.Digest()
}

// compareDigests passes a peer's digest to Options.CompareDigest. heldAt is a time not
// later than the digest was made, zero if unknown.
func (r *Roster) compareDigests(peer *wire.Daemon, digest *wire.Digest, heldAt time.Time) {
	if r.options.CompareDigest != nil && peer != nil && digest != nil {
		r.options.CompareDigest(peer, digest, heldAt)
	}
}

// needsList compares a peer's roster hash with this daemon's. It returns true
// after maxMismatches consecutive differences, when passing on changes has
// failed to make the rosters equal and a whole roster has to be fetched. Since
// the peer has answered, it also marks this daemon as joined.
func (r *Roster) needsList(hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
	if hash == r.table.rosterHash {
		r.mismatches = 0
		return false
	}
	r.mismatches++
	if r.mismatches < maxMismatches {
		return false
	}
	r.mismatches = 0
	return true
}

// list fetches and merges a peer's whole roster and reports whether the peer
// answered.
func (r *Roster) list(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.options.Client(address).List(ctx, &wire.ListRequest{})
	if err != nil {
		return false
	}
	r.metrics.lists.Inc()
	r.mergeList(response.Daemons)
	return true
}

// probeIndirectly requests random peers to send a heartbeat to a target and
// reports whether one of them got an answer.
func (r *Roster) probeIndirectly(ctx context.Context, target *wire.Daemon) bool {
	r.mu.Lock()
	probers := r.randomPeers(func(d *wire.Daemon) bool {
		return d.Standing == wire.Standing_STANDING_ALIVE && d.Id != target.Id
	}, indirectProbes)
	r.mu.Unlock()
	answers := make(chan bool, len(probers))
	var group errgroup.Group
	for _, prober := range probers {
		group.Go(func() error {
			answers <- r.requestProbe(ctx, prober.PeerAddress, target.Id)
			return nil
		})
	}
	group.Wait()
	close(answers)
	for answered := range answers {
		if answered {
			return true
		}
	}
	return false
}

// requestProbe requests one peer to send a heartbeat to a target and reports
// whether the target answered.
func (r *Roster) requestProbe(ctx context.Context, address, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	request := &wire.RelayRequest{Target: target}
	response, err := r.options.Client(address).Probe(ctx, request)
	return err == nil && response.Answered
}

// announceChanges sends heartbeats to a few random peers soon after a change of
// standing, until the context ends.
func (r *Roster) announceChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.announce:
		}
		r.mu.Lock()
		peers := r.randomPeers(notDead, changeFanout)
		r.mu.Unlock()
		var group errgroup.Group
		for _, peer := range peers {
			group.Go(func() error {
				r.heartbeat(ctx, peer.PeerAddress)
				return nil
			})
		}
		group.Wait()
		if !clock.Sleep(ctx, changeInterval) {
			return nil
		}
	}
}
