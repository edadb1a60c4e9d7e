package store

import "time"

// Entry is a key with its value. Revision is the service-wide revision of the
// key's last change; 0 stands for a key that does not exist.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"` // in watches only
}

// Put is a write under compare-and-swap: it is done only while the key's
// revision is Prev, where 0 means that the key must not exist.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Prev  uint64 `json:"prev"`
	Lease uint64 `json:"lease,omitempty"` // deletes the key when it lapses
}

// Listing is the answer to a list or a watch: the entries, and the service's
// revision up to which they are complete.
type Listing struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
	Compact  bool    `json:"compact,omitempty"` // history is gone: list anew
}

// Lease keeps keys while it is kept alive.
type Lease struct {
	ID  uint64        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Standing is an instance's state in the platform's list.
type Standing string

// The standings of the platform's list.
const (
	Live    Standing = "live"
	Leaving Standing = "leaving"
)

// Instance is a row of the platform's list, which lags.
type Instance struct {
	ID       string   `json:"id"`
	Address  string   `json:"address"` // host:port of its endpoint
	Fabric   string   `json:"fabric"`
	Domain   string   `json:"domain"`
	Region   string   `json:"region"`
	Chips    int      `json:"chips"`  // accelerators
	Checks   bool     `json:"checks"` // refuses orders with an old fencing number
	Standing Standing `json:"standing"`
}
