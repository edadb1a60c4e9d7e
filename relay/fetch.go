package relay

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

const (
	fetching   = 2 * time.Second        // limit of a fetch
	fetchPause = 250 * time.Millisecond // between two fetches
	oldest     = 24 * time.Hour         // an older vouching is worth nothing
)

// Digest stands for all documents held, for heartbeats to carry.
func (r *Relay) Digest() *wire.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Digest{
		Hash:     r.documents.hash,
		Revision: r.documents.top,
		Ready:    r.ready,
		Age:      r.age(),
	}
}

// age is how long ago the store vouched, in milliseconds.
func (r *Relay) age() uint64 {
	return uint64(max(0, time.Since(r.confirmed()).Milliseconds()))
}

// Compare takes a peer's digest that held at a moment or later; the zero time
// stands for an unknown moment. Equal documents share the peer's vouching;
// where the peer may know more, its documents are fetched.
func (r *Relay) Compare(peer *wire.Daemon, digest *wire.Digest, held time.Time) {
	r.mu.Lock()
	equal := digest.Hash == r.documents.hash
	if equal && digest.Ready && !held.IsZero() {
		r.adopt(held, digest.Age)
	}
	lacking := !equal && digest.Revision >= r.documents.top || digest.Ready && !r.ready
	r.mu.Unlock()
	if !lacking {
		return
	}
	select {
	case r.behind <- peer.PeerAddress:
	default: // a fetch is under way; the next heartbeat compares again
	}
}

// adopt shares the vouching of a ready peer, which was so many milliseconds
// old at a moment. The caller holds the lock.
func (r *Relay) adopt(held time.Time, age uint64) {
	r.ready = true
	if age < uint64(oldest.Milliseconds()) {
		r.vouch(held.Add(-time.Duration(age)*time.Millisecond), prefixes...)
	}
}

// fetchBehind fetches from peers that hold newer documents, one at a time.
func (r *Relay) fetchBehind(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-r.behind:
			r.fetch(ctx, address)
		}
		if !clock.Sleep(ctx, fetchPause) {
			return nil
		}
	}
}

// fetch takes in what a peer holds beyond the own documents and reports
// whether the peer was ready.
func (r *Relay) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetching)
	defer cancel()
	sent := time.Now()
	response, err := r.options.Client(address).Fetch(ctx, &wire.FetchRequest{Versions: r.Versions()})
	r.metrics.calls.WithLabelValues("fetch", outcome(err)).Inc()
	if err != nil {
		return false
	}
	r.learn("fetch", 0, unpack(response.Documents)...)
	if !response.Ready {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt(sent, response.Age)
	return true
}
