package fleet

import "time"

// Fabric is the truth about one fabric domain, kept as one value of the
// key-value service and changed by compare-and-swap alone. An instance stands
// in at most one replica of it, and an instance belongs to one fabric domain,
// so no instance is in two replicas.
type Fabric struct {
	Name     string    `json:"name"`
	Domain   string    `json:"domain"` // failure domain
	Fence    uint64    `json:"fence"`  // the last fencing number given out
	Keeper   string    `json:"keeper"` // daemon that wrote this value
	Fit      int       `json:"fit"`    // instances that may be members, as its keeper counts
	Replicas []Replica `json:"replicas"`
	Cause    string    `json:"cause"` // why this value differs from the one before
	At       time.Time `json:"at"`
}

// Replica is one copy of a model group. It spans as many instances as the
// group's size and serves only while all of them answer with its fence.
type Replica struct {
	ID      string    `json:"id"`    // unique over all fabrics and time
	Group   string    `json:"group"` // key of the groups section
	Model   string    `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version"`
	State   string    `json:"state"`   // a state of chart/replica.json
	Fence   uint64    `json:"fence"`   // of the members' current order
	Members []Member  `json:"members"` // the first takes the requests
	Gate    string    `json:"gate"`    // daemon that gives its permits
	Named   uint64    `json:"named"`   // fence under which that daemon was named
	Since   time.Time `json:"since"`   // when it came into its state
}

// Member is an instance in a replica.
type Member struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // host:port of its endpoint
	Boot     uint64 `json:"boot"`    // boot number when it was ordered; 0 before
}

// Key returns the store's key of a fabric domain's value.
func Key(fabric string) string { return Prefix + fabric }

// Prefix begins the store's keys of all fabric domains.
const Prefix = "fabric/"

// Conf is the store's key of the operators' configuration document.
const Conf = "conf"
