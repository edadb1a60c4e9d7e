package relay

import (
	"context"
	"time"

	"clementinehead.example/chead/wire"
)

var _ wire.RelayHandler = (*Relay)(nil)

// Push takes delivered documents in, wants offered ones that are newer than
// those held and not awaited from another peer, and tells what is in force.
func (r *Relay) Push(_ context.Context, request *wire.PushRequest) (*wire.PushResponse, error) {
	r.learn("push", request.Hops, unpack(request.Documents)...)
	now := time.Now()
	response := &wire.PushResponse{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, document := range request.Documents {
		response.Versions = append(response.Versions, r.version(document.Key))
	}
	for _, offered := range request.Offered {
		response.Versions = append(response.Versions, r.version(offered.Key))
		if r.wants(offered, now) {
			response.Wanted = append(response.Wanted, offered.Key)
		}
	}
	return response, nil
}

// version is that of a document as far as the view is made of it.
func (r *Relay) version(key string) *wire.Version {
	return &wire.Version{Key: key, Revision: r.inForce[key]}
}

func (r *Relay) wants(offered *wire.Version, now time.Time) bool {
	if !spread(offered.Key) || offered.Revision <= r.documents.entries[offered.Key].Revision {
		return false
	}
	pending := r.awaited[offered.Key]
	if pending.revision >= offered.Revision && now.Before(pending.until) {
		return false
	}
	r.awaited[offered.Key] = awaited{revision: offered.Revision, until: now.Add(waiting)}
	return true
}

// Fetch returns the documents that are newer than the named versions.
func (r *Relay) Fetch(_ context.Context, request *wire.FetchRequest) (*wire.FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.FetchResponse{
		Documents: r.documents.newer(request.Versions),
		Ready:     r.ready,
		Age:       r.age(),
	}, nil
}
