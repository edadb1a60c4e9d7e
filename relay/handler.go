package relay

import (
	"context"
	"time"

	"clementinehead.example/chead/wire"
)

var _ wire.RelayHandler = (*Relay)(nil)

// Push applies the delivered documents and requests those offered ones that are
// newer than the held ones and not already requested from another peer. The
// response also contains the revisions that this daemon has in force for all
// these keys.
func (r *Relay) Push(_ context.Context, request *wire.PushRequest) (*wire.PushResponse, error) {
	r.apply("push", request.Hops, fromWire(request.Documents)...)
	now := time.Now()
	response := &wire.PushResponse{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, document := range request.Documents {
		response.Versions = append(response.Versions, r.appliedVersion(document.Key))
	}
	for _, offered := range request.Offered {
		response.Versions = append(response.Versions, r.appliedVersion(offered.Key))
		if r.wants(offered, now) {
			response.Wanted = append(response.Wanted, offered.Key)
		}
	}
	return response, nil
}

// appliedVersion returns the revision of a document that the view was made from,
// or 0. The caller holds mu.
func (r *Relay) appliedVersion(key string) *wire.Version {
	return &wire.Version{Key: key, Revision: r.inForce[key]}
}

// wants reports whether to request an offered revision, and records the request
// until deliveryWait has passed. The caller holds mu.
func (r *Relay) wants(offered *wire.Version, now time.Time) bool {
	if !shared(offered.Key) || offered.Revision <= r.documents.entries[offered.Key].Revision {
		return false
	}
	pending := r.pending[offered.Key]
	if pending.revision >= offered.Revision && now.Before(pending.until) {
		return false
	}
	r.pending[offered.Key] = pendingDelivery{revision: offered.Revision, until: now.Add(deliveryWait)}
	return true
}

// Fetch returns the documents that are newer than the versions in the request.
func (r *Relay) Fetch(_ context.Context, request *wire.FetchRequest) (*wire.FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.FetchResponse{
		Documents: r.documents.newer(request.Versions),
		Ready:     r.ready,
		Age:       r.age(),
	}, nil
}
