package simul

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// RunnerOptions are the properties of a Runner.
type RunnerOptions struct {
	ID          string
	Service     string
	Address     string
	Domain      string                         // failure domain
	Fabric      string                         // fabric domain, empty for a plain service
	Slots       int                            // maximum number of concurrent requests
	Join        time.Duration                  // time to join a group, and to open it
	Event       time.Duration                  // shortest time until the first event of a stream, between two, and of a plain call
	EventMax    time.Duration                  // longest such time, Event if it is shorter
	Events      int                            // number of events of a stream
	Sip         time.Duration                  // pause after each part of a request's body that it reads
	Named       bool                           // whether the bodies of answers name their requests
	Faults      Faults                         // none by default
	Crash       string                         // part of prompts at which the runner crashes, empty for none
	OnCrash     func()                         // ends the runner, if Crash is not empty
	Limit       float64                        // requests per second that answers state as the limit, in turn with none and twice as many; 0 for none
	LimitPeriod time.Duration                  // for which answers state the same
	PutEntry    func(key string, value []byte) // writes the entry of the runner to the store
	OnRun       func(id string)                // called with the request id before each run, may be nil
	OnAct       func(Act)                      // called before each act takes effect, may be nil
}

// Runner simulates a model runner, or an application runner if it has no fabric
// domain. A model runner serves requests only while it is the leader, the member of
// rank 0, of an open group. Use NewRunner to create one.
type Runner struct {
	options  RunnerOptions
	mu       sync.Mutex
	born     int64          // start time, in milliseconds since 1970
	sequence int64          // number of orders that changed the state
	fence    int64          // highest fencing token seen
	model    string         // model of the last group joined
	staged   string         // model of the last order "phase", which stages a model on the instance
	group    *groupState    // nil while in no group
	active   int            // requests in progress
	runs     map[string]int // number of runs by request id
	given    int            // number of answers begun
	limit    float64        // as SetLimit has it
	mux      *http.ServeMux
}

// groupState is the membership of a runner in a group.
type groupState struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// NewRunner returns a runner that is in no group. Its entry is not in the store
// until Publish is called.
func NewRunner(o RunnerOptions) *Runner {
	r := &Runner{options: o, born: time.Now().UnixMilli(), runs: map[string]int{}, mux: http.NewServeMux()}
	r.mux.HandleFunc("GET /api/report", r.report)
	r.mux.HandleFunc("POST /api/order", r.order)
	r.mux.HandleFunc("/", r.serve)
	return r
}

// ServeHTTP handles requests of callers, orders, and requests for the report. It
// answers Misdirected Request if another instance is expected.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if c, kept := q.Context().Value(connKey{}).(*runnerConn); kept {
		c.begin()
	}
	if id := q.Header.Get("X-Expect-Instance"); id != "" && id != r.options.ID {
		r.refuse(w, q.Header.Get("X-Request-Id"), http.StatusMisdirectedRequest)
		return
	}
	r.mux.ServeHTTP(w, q)
}

// Runs returns the number of runs of each request on this runner, by request id.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for id, n := range r.runs {
		out[id] = n
	}
	return out
}

// SetLimit sets the limit that the runner's answers state from now on, in requests per
// second of all daemons together; 0 for none. The runner takes more all the same.
func (r *Runner) SetLimit(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = rate
}

// statedLimit returns the limit that an answer states now, 0 for none. The caller holds
// the lock.
func (r *Runner) statedLimit() float64 {
	if r.options.Limit <= 0 {
		return r.limit
	}
	turn := time.Since(time.UnixMilli(r.born)) / r.options.LimitPeriod
	return r.options.Limit * float64(turn%3)
}

// Publish writes the runner's entry to the store.
func (r *Runner) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish()
}

// publish writes the runner's entry to the store. The caller holds the lock.
func (r *Runner) publish() {
	entry := r.state()
	entry["service"] = r.options.Service
	entry["address"] = r.options.Address
	entry["zone"] = r.options.Domain
	entry["version"] = "v1"
	entry["slots"] = r.options.Slots
	entry["state"] = "ready"
	entry["cold_remaining_ms"] = 0
	entry["sequence"] = 1
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.options.PutEntry("servers/"+r.options.ID, data)
}

// state returns the part of the state that the entry and the report share. The
// caller holds the lock.
func (r *Runner) state() map[string]any {
	state := map[string]any{"born": r.born, "busy": false}
	if r.options.Fabric == "" {
		return state
	}
	state["phase"] = "both"
	state["domain"] = r.options.Fabric
	state["models"] = []any{}
	state["staged"] = []string{}
	if r.model != "" {
		state["models"] = []any{map[string]any{"name": r.model, "version": 1, "adapters": []any{}}}
	}
	if r.staged != "" {
		state["staged"] = []string{r.staged}
	}
	if r.group != nil {
		state["group"] = *r.group
	}
	return state
}

// report handles the request for the runner's current state.
func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	state := r.state()
	state["sequence"] = r.sequence
	state["active"] = r.active
	r.mu.Unlock()
	reply(w, http.StatusOK, state)
}

// orderBody is the body of an order.
type orderBody struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Token   int64    `json:"fencing_token"`
	Expect  *int64   `json:"expect"`
}

// order handles an order. It is refused if its fencing token is below the highest
// one seen, or if it expects another sequence number than the runner's.
func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o orderBody
	if err := decode(q, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Token < r.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	r.fence = o.Token
	if o.Expect != nil && *o.Expect != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	status := r.execute(o)
	if status == http.StatusAccepted {
		r.sequence++
		r.publish()
	}
	w.WriteHeader(status)
}

// execute carries out an order and returns the HTTP status of the answer: Accepted
// if the state changed, OK if there was nothing to do, an error status otherwise. The
// caller holds the lock.
func (r *Runner) execute(o orderBody) int {
	joined := r.group != nil && r.group.Name == o.Group && r.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if joined {
			return http.StatusOK
		}
		r.model = o.Model
		r.group = &groupState{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, r.options.ID), State: "joining"}
		r.setStateAfter(r.options.Join, r.group, "ready")
	case "open":
		if !joined || r.group.State != "ready" {
			return http.StatusConflict
		}
		r.setStateAfter(r.options.Join, r.group, "open")
	case "close":
		if !joined {
			return http.StatusOK
		}
		r.group.State = "ready"
	case "leave":
		if !joined {
			return http.StatusOK
		}
		r.group = nil
	case "phase":
		r.staged = o.Model
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// setStateAfter sets the state of a group after a delay, if the runner is still in
// that group.
func (r *Runner) setStateAfter(d time.Duration, g *groupState, state string) {
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.group == g {
			g.State = state
			r.publish()
		}
	})
}
