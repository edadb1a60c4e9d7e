package mimic

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// RunnerOptions describe a runner.
type RunnerOptions struct {
	ID      string
	Service string
	Address string
	Domain  string        // failure domain
	Fabric  string        // empty for a plain service
	Slots   int           // requests at once
	Join    time.Duration // to join a group
	Event   time.Duration // between two events of a stream, and that a plain call takes
	Events  int           // of a stream
	Put     func(key string, value []byte)
	Began   func(id string) // called before a run begins, may be nil
}

// Runner is a stand-in for a model runner or an application runner. It serves a
// model's requests only while it heads an open group. Use NewRunner.
type Runner struct {
	options RunnerOptions
	mu      sync.Mutex
	born    int64
	count   int64
	fence   int64
	model   string
	staged  string
	group   *groupState
	active  int
	ran     map[string]int // runs by request's id
	mux     *http.ServeMux
}

type groupState struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// NewRunner returns a runner that has just started.
func NewRunner(o RunnerOptions) *Runner {
	r := &Runner{options: o, born: time.Now().UnixMilli(), ran: map[string]int{}, mux: http.NewServeMux()}
	r.mux.HandleFunc("GET /api/report", r.report)
	r.mux.HandleFunc("POST /api/order", r.order)
	r.mux.HandleFunc("/", r.serve)
	return r
}

// ServeHTTP answers requests, orders and reports.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("X-Expect-Instance"); id != "" && id != r.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mux.ServeHTTP(w, q)
}

// Ran returns how often each request ran here, by its id.
func (r *Runner) Ran() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for id, n := range r.ran {
		out[id] = n
	}
	return out
}

// Announce writes the runner's entry.
func (r *Runner) Announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announce()
}

func (r *Runner) announce() {
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
	r.options.Put("servers/"+r.options.ID, data)
}

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

func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	state := r.state()
	state["sequence"] = r.count
	state["active"] = r.active
	r.mu.Unlock()
	reply(w, http.StatusOK, state)
}

type orderBody struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Token   int64    `json:"fencing_token"`
	Expect  *int64   `json:"expect"`
}

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
	if o.Expect != nil && *o.Expect != r.count {
		w.WriteHeader(http.StatusConflict)
		return
	}
	status := r.carryOut(o)
	if status == http.StatusAccepted {
		r.count++
		r.announce()
	}
	w.WriteHeader(status)
}

func (r *Runner) carryOut(o orderBody) int {
	in := r.group != nil && r.group.Name == o.Group && r.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if in {
			return http.StatusOK
		}
		r.model = o.Model
		r.group = &groupState{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, r.options.ID), State: "joining"}
		r.later(r.options.Join, r.group, "ready")
	case "open":
		if !in || r.group.State != "ready" {
			return http.StatusConflict
		}
		r.later(r.options.Join, r.group, "open")
	case "close":
		if !in {
			return http.StatusOK
		}
		r.group.State = "ready"
	case "leave":
		if !in {
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

// later brings a group to a state after a while, if it still stands.
func (r *Runner) later(d time.Duration, g *groupState, state string) {
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.group == g {
			g.State = state
			r.announce()
		}
	})
}

// serve runs a request: a stream for a model, else a short answer.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	r.mu.Lock()
	if r.options.Fabric != "" && (r.group == nil || r.group.State != "open" || r.group.Rank != 0) {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.active >= r.options.Slots {
		r.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.active++
	r.ran[id]++
	r.mu.Unlock()
	if r.options.Began != nil {
		r.options.Began(id)
	}
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Server-Signature", r.options.ID)
	if r.options.Fabric == "" {
		time.Sleep(r.options.Event)
		_, _ = io.WriteString(w, "done by "+r.options.ID)
		return
	}
	r.stream(q.Context(), w, q.Header.Get("Last-Event-Id"))
}

func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, last string) {
	w.Header().Set("Content-Type", "text/event-stream")
	done, _ := strconv.Atoi(last)
	for i := done + 1; i <= r.options.Events; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.options.Event):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", i); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
