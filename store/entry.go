package store

import "time"

// Entry is a key with its value. Revision is the service-wide revision of the
// key's last change, which is the deletion if Deleted is set, or 0 if the key
// doesn't exist. Lease is the lease that the key is attached to, or 0.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"` // set in the answers to watches only
}

// Put is a compare-and-swap write. It is done only if the key's revision is
// Prev, where 0 means that the key must not exist.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Prev  uint64 `json:"prev"`
	Lease uint64 `json:"lease,omitempty"` // the key is deleted when this lease lapses
}

// Listing is the answer to a list or a watch: the entries, and the revision of
// the service up to which they are complete.
type Listing struct {
	Entries   []Entry `json:"entries"`
	Revision  uint64  `json:"revision"`
	Compacted bool    `json:"compact,omitempty"` // the service no longer has the changes since the requested revision, so the keys have to be listed again
}

// Lease is a lease of the service. The keys attached to it exist until it lapses
// or is revoked.
type Lease struct {
	ID  uint64        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Status is an instance's status in the platform's list.
type Status string

// The values of Status.
const (
	Live    Status = "live"
	Leaving Status = "leaving"
)

// Instance is a row of the platform's list of instances. The list lags behind
// the instances' actual state.
type Instance struct {
	ID          string `json:"id"`
	Address     string `json:"address"` // host:port of its endpoint
	Fabric      string `json:"fabric"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Chips       int    `json:"chips"`  // number of accelerators
	ChecksFence bool   `json:"checks"` // whether it refuses orders with an old fencing token
	Status      Status `json:"standing"`
}
