package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// Options are the dependencies of an Entry. All fields are required unless
// their comment says otherwise.
type Options struct {
	Self    string                // id of this daemon
	Domain  string                // failure domain of this daemon
	Boot    uint64                // boot number of this daemon
	View    func() *view.View     // current configuration and replicas
	Daemons func() []*wire.Daemon // all known daemons
	Ready   func() error          // why requests can't be accepted yet; nil if always ready
	// Order returns the replicas that may serve a model, the preferred one
	// first.
	Order   func(v *view.View, account, model string, prefix []uint64, domain string) []view.Location
	Observe func(replica string, response *wire.AcquireResponse) // called with each gate's response; nil for none
	Gate    func(address string) wire.GateClient                 // client of the daemon at a peer address
	Find    func(id string) (*wire.Daemon, bool)                 // nil for a linear search of Daemons
	Interim func(location view.Location) []string                // ids of the daemons that act as gate while the replica's own is unreachable, in order; nil for none
	Engine  *engine.Client
	// Plain sends calls to plain services. It must use each connection for one
	// request only, so that a late second answer is not taken for that of the next
	// request, and must not follow redirects.
	Plain func(*http.Request) (*http.Response, error)
	// Unpooled sends requests that aren't repeatable. It must use each connection
	// for one request only, so that no transport sends a request twice, and
	// must not follow redirects. Nil stands for a transport made by
	// NewTransport.
	Unpooled func(*http.Request) (*http.Response, error)
	Records  *once.Ledger
	Count    func(tally.Sample) // called for each finished request of a known account
	Log      logr.Logger
	Registry prometheus.Registerer // nil for none
	Rand     *rand.Rand
}

// Entry is the HTTP handler of callers' requests.
type Entry struct {
	options         Options
	unpooled        *engine.Client // uses each connection for one request
	pooled          *engine.Client // reuses connections
	keyring         keyring
	budget          *budget
	loads           *loads
	metrics         *metrics
	dispatched      *dispatchedSet
	ejected         *ejected
	answers         *bound.Budget // of answers that aren't streamed
	capacity        capacity
	lastID          atomic.Uint64  // number in the last request id made here
	shuttingDown    atomic.Bool    // Shutdown has been called
	recordsDown     atomic.Bool    // the store of at-most-once records can't be reached
	background      sync.WaitGroup // tasks that outlive the answers they belong to
	lastDrained     atomic.Int64   // when a failure domain was last seen out of service, Unix nanoseconds
	mu              sync.Mutex     // guards server, stopped, advertisedUntil and options.Rand
	server          *http.Server
	stopped         bool      // Shutdown has ended Serve, or keeps it from starting
	advertisedUntil time.Time // expiry of the last answer to GET /v1/entries that may name this daemon
}

// New returns an Entry.
func New(options Options) *Entry {
	if options.Unpooled == nil {
		options.Unpooled = NewTransport(true).RoundTrip
	}
	if options.Find == nil {
		options.Find = search(options.Daemons)
	}
	e := &Entry{
		options:    options,
		budget:     newBudget(),
		loads:      newLoads(),
		metrics:    newMetrics(options.Registry),
		dispatched: newDispatchedSet(),
		ejected:    newEjected(),
		answers:    bound.NewBudget(maxAnswersBytes),
	}
	e.pooled = &engine.Client{Do: options.Engine.Do, Limits: e.streamLimits}
	e.unpooled = &engine.Client{Do: options.Unpooled, Limits: e.streamLimits}
	return e
}

// search returns a function that finds a daemon by its id in a linear search.
func search(daemons func() []*wire.Daemon) func(id string) (*wire.Daemon, bool) {
	return func(id string) (*wire.Daemon, bool) {
		for _, d := range daemons() {
			if d.GetId() == id {
				return d, true
			}
		}
		return nil, false
	}
}

// streamLimits returns the longest waits for an endpoint's first event and for
// each later one under the current configuration.
func (e *Entry) streamLimits() engine.Limits {
	limits := e.options.View().Document.Limits
	return engine.Limits{First: time.Duration(limits.First), Gap: time.Duration(limits.Gap)}
}

// The paths of the callers' interface.
const (
	pathEntries     = "/v1/entries"
	pathModels      = "/v1/models"
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathServices    = "/services/"
)

// ServeHTTP answers one request. Paths are compared as received, without
// cleaning, so that no two of them mean the same.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	path := r.URL.EscapedPath()
	if path == pathEntries {
		allowMethod(http.MethodGet, e.entries)(w, r)
		return
	}
	if err := e.ready(); err != nil {
		e.refuseUnready(w, r, err)
		return
	}
	switch {
	case path == pathModels:
		allowMethod(http.MethodGet, e.models)(w, r)
	case path == pathCompletions, path == pathChat:
		allowMethod(http.MethodPost, e.complete)(w, r)
	case strings.HasPrefix(path, pathServices):
		e.service(w, r)
	default:
		refuse(w, reject("admit", BadPath, nil), "")
	}
}

func (e *Entry) ready() error {
	if e.options.Ready == nil {
		return nil
	}
	return e.options.Ready()
}

// refuseUnready refuses a request of which only the header was read. If the
// caller marks it as a later attempt, an earlier one may have run.
func (e *Entry) refuseUnready(w http.ResponseWriter, r *http.Request, cause error) {
	err := reject("admit", NotReady, cause)
	err.Retry = defaultRetryAfter
	if attempt := r.Header.Get(headerAttempt); attempt != "" && attempt != "1" {
		err.Ran = engine.Unknown
	}
	refuse(w, err, "")
	linger(w, r)
}

// allowMethod returns a handler that refuses all methods but one.
func allowMethod(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			refuse(w, reject("admit", BadMethod, nil), "")
			return
		}
		handle(w, r)
	}
}

// newID returns an id that is unique across daemons and their boots.
func (e *Entry) newID() string {
	number := strconv.FormatUint(e.lastID.Add(1), 36)
	return e.options.Self + "-" + strconv.FormatUint(e.options.Boot, 36) + "-" + number
}

func (e *Entry) shuffle(addresses []Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.Rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}

// runBackground runs a task that the caller's answer doesn't wait for. Shutdown
// waits for it.
func (e *Entry) runBackground(timeout time.Duration, task func(ctx context.Context)) {
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		task(ctx)
	})
}
