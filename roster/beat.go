package roster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

// beatPeers sends heartbeats until the context ends.
func (r *Roster) beatPeers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(abreast)
	group.Go(func() error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				// The tick itself names the time for which it was set.
				now := time.Now()
				r.expire(now, now.Sub(last) > 3*interval)
				last = now
				r.beatDue(ctx, group)
			}
		}
	})
	return group.Wait()
}

// expire lets suspects die. A daemon that was paused itself starts their time
// anew, since they may have refuted meanwhile.
func (r *Roster) expire(now time.Time, paused bool) {
	r.mu.Lock()
	if paused {
		r.table.forgive(now)
	}
	dead := r.table.expire(now)
	for _, id := range dead {
		r.note(id)
	}
	r.mu.Unlock()
	if len(dead) > 0 {
		r.wake()
	}
}

// beatDue starts the heartbeats that are due now.
func (r *Roster) beatDue(ctx context.Context, group *errgroup.Group) {
	for _, peer := range r.due() {
		group.TryGo(func() error {
			r.beatOrSuspect(ctx, peer)
			return nil
		})
	}
}

// due returns the next ring successor and, from time to time, a random peer
// and a dead one, which may have come back behind a healed partition.
func (r *Roster) due() []*wire.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*wire.Daemon
	if next := r.table.successor(r.turn); next != nil {
		due = append(due, next)
	}
	if r.turn%often == 0 {
		due = append(due, r.pick(reachable, 1)...)
	}
	if r.turn%seldom == 0 {
		due = append(due, r.pick(dead, 1)...)
	}
	r.turn++
	return due
}

// pick returns up to n random peers for which keep holds. The caller holds the
// lock.
func (r *Roster) pick(keep func(*wire.Daemon) bool, n int) []*wire.Daemon {
	peers := r.table.peers(keep)
	r.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// beatOrSuspect beats a peer and, where neither it nor others get an answer
// from it, suspects it.
func (r *Roster) beatOrSuspect(ctx context.Context, peer *wire.Daemon) {
	if r.beat(ctx, peer.PeerAddress) || ctx.Err() != nil {
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
	changed := current && r.table.stand(peer.Id, standing, time.Now())
	if changed {
		r.note(peer.Id)
	}
	r.mu.Unlock()
	if changed {
		r.metrics.beats.WithLabelValues("suspected").Inc()
		r.wake()
	}
}

// beat exchanges one heartbeat and reports whether it was answered.
func (r *Roster) beat(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	response, err := r.options.Client(address).Beat(ctx, r.request())
	if err != nil {
		r.metrics.beats.WithLabelValues("failed").Inc()
		return false
	}
	r.metrics.beats.WithLabelValues("answered").Inc()
	r.take(response.From, response.Changed)
	r.compareDigests(response.From, response.Digest, sent)
	if r.differs(response.RosterHash) {
		r.list(ctx, address)
	}
	return true
}

func (r *Roster) request() *wire.BeatRequest {
	digest := r.digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.BeatRequest{
		From:       r.table.members[r.table.self].daemon,
		Changed:    r.table.updates(piggyback),
		RosterHash: r.table.sum,
		Digest:     digest,
	}
}

func (r *Roster) digest() *wire.Digest {
	if r.options.Digest == nil {
		return nil
	}
	return r.options.Digest()
}

func (r *Roster) compareDigests(peer *wire.Daemon, digest *wire.Digest, held time.Time) {
	if r.options.Compare != nil && peer != nil && digest != nil {
		r.options.Compare(peer, digest, held)
	}
}

// differs counts answers in a row with another roster hash and reports when
// passing on changes has not evened them out.
func (r *Roster) differs(hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
	if hash == r.table.sum {
		r.differed = 0
		return false
	}
	r.differed++
	if r.differed < mismatches {
		return false
	}
	r.differed = 0
	return true
}

// list fetches a peer's whole roster and reports whether it answered.
func (r *Roster) list(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := r.options.Client(address).List(ctx, &wire.ListRequest{})
	if err != nil {
		return false
	}
	r.metrics.lists.Inc()
	r.takeList(response.Daemons)
	return true
}

// probeIndirectly asks random peers to beat a target and reports whether one of
// them got an answer.
func (r *Roster) probeIndirectly(ctx context.Context, target *wire.Daemon) bool {
	r.mu.Lock()
	asked := r.pick(func(d *wire.Daemon) bool {
		return d.Standing == wire.Standing_STANDING_ALIVE && d.Id != target.Id
	}, helpers)
	r.mu.Unlock()
	answers := make(chan bool, len(asked))
	var group errgroup.Group
	for _, helper := range asked {
		group.Go(func() error {
			answers <- r.askToProbe(ctx, helper.PeerAddress, target.Id)
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

func (r *Roster) askToProbe(ctx context.Context, address, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*limit)
	defer cancel()
	request := &wire.RelayRequest{Target: target}
	response, err := r.options.Client(address).Probe(ctx, request)
	return err == nil && response.Answered
}

// tellChanges beats a few random peers soon after a change of standing.
func (r *Roster) tellChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.urgent:
		}
		r.mu.Lock()
		peers := r.pick(reachable, burst)
		r.mu.Unlock()
		var group errgroup.Group
		for _, peer := range peers {
			group.Go(func() error {
				r.beat(ctx, peer.PeerAddress)
				return nil
			})
		}
		group.Wait()
		if !clock.Sleep(ctx, spacing) {
			return nil
		}
	}
}
