package fleet

import "time"

// Fabric is the stored state of one fabric domain. It is one value of the
// key-value service and changes only by compare-and-swap. An instance is a
// member of at most one replica of a Fabric and belongs to one fabric domain,
// so no instance is in two replicas.
type Fabric struct {
	Name         string    `json:"name"`
	Domain       string    `json:"domain"` // failure domain
	Fence        uint64    `json:"fence"`  // last fencing token issued
	Keeper       string    `json:"keeper"` // daemon that wrote this value
	FitInstances int       `json:"fit"`    // number of instances that may be members, as counted by the keeper
	Replicas     []Replica `json:"replicas"`
	Cause        string    `json:"cause"` // why this value differs from the previous one
	At           time.Time `json:"at"`
}

// Replica is one copy of the model of a group. It spans as many instances as
// the group's size and serves only while all of them report its fencing token.
type Replica struct {
	ID        string    `json:"id"`    // unique over all fabric domains and all time
	Group     string    `json:"group"` // key in the groups section
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter,omitempty"`
	Version   string    `json:"version"`
	State     string    `json:"state"`   // a state of chart/replica.json
	Fence     uint64    `json:"fence"`   // fencing token of the current order of its members
	Members   []Member  `json:"members"` // the first one receives the requests
	Gate      string    `json:"gate"`    // daemon that issues its permits
	GateFence uint64    `json:"named"`   // fencing token under which the gate was assigned
	Since     time.Time `json:"since"`   // time of the last state change
}

// Member is an instance of a replica.
type Member struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // host:port of its endpoint
	Boot     uint64 `json:"boot"`    // boot number when the replica entered service; 0 before
}

// Key returns the key of a fabric domain's value in the store.
func Key(fabric string) string { return KeyPrefix + fabric }

// KeyPrefix is the common prefix of the store keys of all fabric domains.
const KeyPrefix = "fabric/"

// ConfKey is the store key of the operators' configuration document.
const ConfKey = "conf"
