package engine

// State is the state of an endpoint's model.
type State string

// The states of an endpoint.
const (
	Idle    State = "idle"
	Loading State = "loading"
	Ready   State = "ready"
)

// Report is an endpoint's answer to a probe, GET /v1/report. Running, Waiting,
// Completed and Used lag behind; Instance, Boot, Fence, Replica and State do
// not.
type Report struct {
	Instance  string  `json:"instance"`
	Boot      uint64  `json:"boot"` // another number after each start
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

// Order tells an endpoint what to be, POST /v1/order. An empty Replica sets it
// idle. Members are the addresses of all the replica's endpoints by rank.
type Order struct {
	Fence   uint64   `json:"fence"`
	Replica string   `json:"replica,omitempty"`
	Model   string   `json:"model,omitempty"`
	Adapter string   `json:"adapter,omitempty"`
	Version string   `json:"version,omitempty"`
	Rank    int      `json:"rank"`
	Members []string `json:"members,omitempty"`
}

// Change is what became of a cached prefix block.
type Change string

// The changes of a block.
const (
	Stored  Change = "stored"
	Evicted Change = "evicted"
)

// Event is one change of an endpoint's prefix cache. A gap in Sequence means
// that events were lost.
type Event struct {
	Sequence uint64 `json:"sequence"`
	Change   Change `json:"change"`
	Block    uint64 `json:"block"` // hash of the prefix up to the block's end
}

// Feed is a part of an endpoint's cache events, GET /v1/events?after=N.
type Feed struct {
	Boot   uint64  `json:"boot"`
	Events []Event `json:"events"`
}
