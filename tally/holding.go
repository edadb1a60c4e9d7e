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
func (h *Replicator) markEnded() {
	daemons := map[string]*wire.Daemon{}
	for _, d := range h.options.Daemons() {
		daemons[d.Id] = d
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for boot, held := range h.held {
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
func (h *Replicator) copyEnded(ctx context.Context) {
	peer := h.choosePeer()
	if peer == nil {
		return
	}
	for _, held := range h.endedUsage() {
		if held.secondary || held.copiedTo == peer.Id {
			continue
		}
		if h.send(ctx, peer, held.usage, true) {
			h.setCopiedTo(held.usage, peer.Id)
		}
	}
}

// handOver sends all held counts to a peer when this daemon shuts down.
func (h *Replicator) handOver(ctx context.Context) {
	peer := h.choosePeer()
	if peer == nil {
		return
	}
	for _, held := range h.heldCopies() {
		h.send(ctx, peer, held.usage, false)
	}
}

// send sends a peer whole usage counts and reports whether it accepted them.
func (h *Replicator) send(ctx context.Context, peer *wire.Daemon, usage *wire.Sheet, copied bool) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	whole := proto.Clone(usage).(*wire.Sheet)
	whole.Whole = true
	request := &wire.HoldRequest{Sheet: whole, Copy: copied}
	response, err := h.options.Client(peer.PeerAddress).Hold(ctx, request)
	if err != nil {
		h.metrics.failures.WithLabelValues("pass").Inc()
		return false
	}
	return response.Sequence >= usage.Sequence
}

// heldCopies returns a copy of all held usage counts.
func (h *Replicator) heldCopies() []heldUsage {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copies := make([]heldUsage, 0, len(h.held))
	for _, held := range h.held {
		copies = append(copies, heldUsage{
			usage:     proto.Clone(held.usage).(*wire.Sheet),
			secondary: held.secondary,
			copiedTo:  held.copiedTo,
		})
	}
	return copies
}

// endedUsage returns copies of the held usage counts of boots that have ended.
func (h *Replicator) endedUsage() []heldUsage {
	var ended []heldUsage
	for _, held := range h.heldCopies() {
		if held.ended() {
			ended = append(ended, held)
		}
	}
	return ended
}

func (h *Replicator) setCopiedTo(usage *wire.Sheet, peer string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := h.held[Boot{Daemon: usage.Daemon, Boot: usage.Boot}]; held != nil {
		held.copiedTo = peer
	}
}

func (h *Replicator) removeHeld(usage *wire.Sheet) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.held, Boot{Daemon: usage.Daemon, Boot: usage.Boot})
}
