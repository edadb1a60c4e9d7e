package tally

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/wire"
)

// heldUsage is the usage counts of a peer, held in memory.
type heldUsage struct {
	usage     *wire.Sheet
	secondary bool   // received as a copy, so not copied to another peer
	copiedTo  string // id of the peer that was sent a copy
}

// get returns the usage counts, nil if h is nil.
func (h *heldUsage) get() *wire.Sheet {
	if h == nil {
		return nil
	}
	return h.usage
}

// ended reports whether the boot that counted the usage has ended.
func (h *heldUsage) ended() bool { return h.usage.Ended > 0 || h.usage.Closed }

// markEnded marks the held counts of boots that have ended, so that this daemon
// writes them to the store.
func (r *Replicator) markEnded() {
	daemons := map[string]*wire.Daemon{}
	for _, d := range r.options.Daemons() {
		daemons[d.Id] = d
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for boot, held := range r.held {
		if held.usage.Ended == 0 && gone(boot, daemons[boot.Daemon]) {
			held.usage.Ended = time.Now().UnixNano()
		}
	}
}

func gone(boot Boot, d *wire.Daemon) bool {
	if d == nil {
		return true
	}
	return d.Boot > boot.Boot || d.Standing == wire.Standing_STANDING_DEAD
}

// copyEnded sends a peer a copy of the counts of each boot that has ended, so that
// they survive a crash of this daemon while the store is down.
func (r *Replicator) copyEnded(ctx context.Context) {
	peer := r.choosePeer()
	if peer == nil {
		return
	}
	for _, held := range r.endedUsage() {
		if held.secondary || held.copiedTo == peer.Id {
			continue
		}
		if r.send(ctx, peer, held.usage, true) {
			r.setCopiedTo(held.usage, peer.Id)
		}
	}
}

// handOver sends all held counts to a peer when this daemon shuts down.
func (r *Replicator) handOver(ctx context.Context) {
	peer := r.choosePeer()
	if peer == nil {
		return
	}
	for _, held := range r.heldCopies() {
		r.send(ctx, peer, held.usage, false)
	}
}

// send sends a peer whole usage counts and reports whether it accepted them. If
// copied is set, the peer does not copy them to another peer.
func (r *Replicator) send(ctx context.Context, peer *wire.Daemon, usage *wire.Sheet, copied bool) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	whole := proto.Clone(usage).(*wire.Sheet)
	whole.Whole = true
	request := &wire.HoldRequest{Sheet: whole, Copy: copied}
	response, err := r.options.Client(peer.PeerAddress).Hold(ctx, request)
	if err != nil {
		r.metrics.failures.WithLabelValues("pass").Inc()
		return false
	}
	return response.Sequence >= usage.Sequence
}

// heldCopies returns a copy of all held usage counts.
func (r *Replicator) heldCopies() []heldUsage {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	copies := make([]heldUsage, 0, len(r.held))
	for _, held := range r.held {
		copies = append(copies, heldUsage{
			usage:     proto.Clone(held.usage).(*wire.Sheet),
			secondary: held.secondary,
			copiedTo:  held.copiedTo,
		})
	}
	return copies
}

// endedUsage returns copies of the held usage counts of boots that have ended.
func (r *Replicator) endedUsage() []heldUsage {
	var ended []heldUsage
	for _, held := range r.heldCopies() {
		if held.ended() {
			ended = append(ended, held)
		}
	}
	return ended
}

func (r *Replicator) setCopiedTo(usage *wire.Sheet, peer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if held := r.held[Boot{Daemon: usage.Daemon, Boot: usage.Boot}]; held != nil {
		held.copiedTo = peer
	}
}

func (r *Replicator) removeHeld(usage *wire.Sheet) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.held, Boot{Daemon: usage.Daemon, Boot: usage.Boot})
}
