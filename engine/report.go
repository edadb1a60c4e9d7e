package engine

// State is the state of the model on an endpoint.
type State string

// The states of an endpoint.
const (
	Idle    State = "idle"
	Loading State = "loading"
	Ready   State = "ready"
)

// Report is the response to GET /v1/report. Running, Waiting, Completed and
// Used may be out of date; all other fields are current.
type Report struct {
	Instance  string  `json:"instance"`
	Boot      uint64  `json:"boot"` // differs after each start
	Fence     uint64  `json:"fence"`
	Replica   string  `json:"replica,omitempty"`
	Rank      int     `json:"rank"`
	State     State   `json:"state"`
	Model     string  `json:"model,omitempty"`
	Adapter   string  `json:"adapter,omitempty"`
	Version   string  `json:"version,omitempty"`
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	Completed uint64  `json:"completed"` // requests since boot
	Used      float64 `json:"used"`      // share of the cache memory, 0 to 1
}

// Order is the body of POST /v1/order, which assigns a replica and a model to an
// endpoint. An empty Replica makes the endpoint idle. Members are the addresses
// of all endpoints of the replica, indexed by rank.
type Order struct {
	Fence   uint64   `json:"fence"`
	Replica string   `json:"replica,omitempty"`
	Model   string   `json:"model,omitempty"`
	Adapter string   `json:"adapter,omitempty"`
	Version string   `json:"version,omitempty"`
	Rank    int      `json:"rank"`
	Members []string `json:"members,omitempty"`
}

// Change is the kind of a prefix-cache event.
type Change string

// The changes of a block.
const (
	Stored  Change = "stored"
	Evicted Change = "evicted"
)

// Event is one change of the prefix cache of an endpoint. A gap in Sequence
// means that events were lost.
type Event struct {
	Sequence uint64 `json:"sequence"`
	Change   Change `json:"change"`
	Block    uint64 `json:"block"` // hash of the prefix up to the block's end
}

// Feed is the response to GET /v1/events?after=N: the boot number of an endpoint
// and its cache events with a sequence above N.
type Feed struct {
	Boot   uint64  `json:"boot"`
	Events []Event `json:"events"`
}
