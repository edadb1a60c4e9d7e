package relay

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

const (
	fetchTimeout   = 2 * time.Second
	fetchInterval  = 250 * time.Millisecond // pause after a fetch
	maxVerifiedAge = 24 * time.Hour         // a peer's verification of this age or older is ignored
)

// Digest returns a digest of all documents held, which heartbeats carry.
func (r *Relay) Digest() *wire.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Digest{
		Hash:     r.documents.hash,
		Revision: r.documents.maxRevision,
		Ready:    r.ready,
		Age:      r.age(),
	}
}

// age returns the time since all documents were verified, in milliseconds. The
// caller holds mu.
func (r *Relay) age() uint64 {
	return uint64(max(0, time.Since(r.verifiedAt()).Milliseconds()))
}

// CompareDigest compares a peer's digest with the documents held. heldAt is a time not
// later than the peer made the digest; the zero time means unknown. If the
// documents are equal and the peer is ready, CompareDigest adopts the peer's
// verification. If the peer may hold newer documents, or is ready while this
// daemon is not, it schedules a fetch from the peer.
func (r *Relay) CompareDigest(peer *wire.Daemon, digest *wire.Digest, heldAt time.Time) {
	r.mu.Lock()
	equal := digest.Hash == r.documents.hash
	if equal && digest.Ready && !heldAt.IsZero() {
		r.adoptVerification(heldAt, digest.Age)
	}
	fetchNeeded := !equal && digest.Revision >= r.documents.maxRevision || digest.Ready && !r.ready
	r.mu.Unlock()
	if !fetchNeeded {
		return
	}
	select {
	case r.fetchQueue <- peer.PeerAddress:
	default: // a fetch is already scheduled; the next heartbeat compares again
	}
}

// adoptVerification adopts the verification of a ready peer and marks this relay
// as ready. The verification was age milliseconds old at heldAt or later. The
// caller holds mu.
func (r *Relay) adoptVerification(heldAt time.Time, age uint64) {
	r.ready = true
	if age < uint64(maxVerifiedAge.Milliseconds()) {
		r.markVerified(heldAt.Add(-time.Duration(age)*time.Millisecond), prefixes...)
	}
}

// fetchQueued fetches from the peers in fetchQueue, one at a time, until the
// context ends.
func (r *Relay) fetchQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-r.fetchQueue:
			r.fetch(ctx, address)
		}
		if !clock.Sleep(ctx, fetchInterval) {
			return nil
		}
	}
}

// fetch takes over the documents of a peer that are newer than those held and
// reports whether the peer answered and was ready.
func (r *Relay) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	response, err := r.options.Client(address).Fetch(ctx, &wire.FetchRequest{Versions: r.Versions()})
	r.metrics.calls.WithLabelValues("fetch", outcome(err)).Inc()
	if err != nil {
		return false
	}
	r.apply("fetch", 0, fromWire(response.Documents)...)
	if !response.Ready {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adoptVerification(sent, response.Age)
	return true
}
