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

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// Options are what an Entry depends on. All are needed but those that say
// otherwise.
type Options struct {
	Self    string // id of this daemon
	Domain  string // failure domain of this daemon
	Boot    uint64 // of this daemon
	View    func() *view.View
	Daemons func() []*wire.Daemon
	Ready   func() error // why requests can't be taken yet; nil for always ready
	Order   func(v *view.View, account, model string, prefix []uint64, domain string) []view.Place
	Observe func(replica string, response *wire.AcquireResponse) // nil for nothing
	Gate    func(address string) wire.GateClient                 // by peer address
	Find    func(id string) (*wire.Daemon, bool)                 // nil for a search of Daemons
	Interim func(place view.Place) []string                      // ids of the daemons to ask where the gate is out of reach; nil for none
	Engine  *engine.Client
	Plain   func(*http.Request) (*http.Response, error) // to plain services; follows no redirects
	// Fresh sends what is not repeatable. It uses each connection once, so
	// that no transport sends a request twice, and follows no redirects. Nil
	// stands for a transport
	// made by NewTransport.
	Fresh    func(*http.Request) (*http.Response, error)
	Once     *once.Book
	Count    func(tally.Sample)
	Log      logr.Logger
	Registry prometheus.Registerer
	Rand     *rand.Rand
}

// Entry is the handler of callers' requests.
type Entry struct {
	options Options
	fresh   *engine.Client // uses each connection once
	warm    *engine.Client
	keys    keyring
	budget  *budget
	loads   *loads
	metrics *metrics
	seen    *seen
	ejected *ejected
	room    room
	names   atomic.Uint64
	leaving atomic.Bool
	blind   atomic.Bool    // the store can't be asked for records
	work    sync.WaitGroup // what goes on behind an answer
	moved   atomic.Int64   // when a failure domain was last seen out of service, Unix nanoseconds
	mu      sync.Mutex     // for server, random numbers and until
	server  *http.Server
	stopped bool      // Shutdown has passed
	until   time.Time // up to which answers that name this daemon hold
}

// New returns an Entry.
func New(options Options) *Entry {
	if options.Fresh == nil {
		options.Fresh = NewTransport(true).RoundTrip
	}
	if options.Find == nil {
		options.Find = search(options.Daemons)
	}
	e := &Entry{
		options: options,
		budget:  newBudget(),
		loads:   newLoads(),
		metrics: newMetrics(options.Registry),
		seen:    newSeen(),
		ejected: newEjected(),
	}
	e.warm = &engine.Client{Do: options.Engine.Do, Limits: e.silence}
	e.fresh = &engine.Client{Do: options.Fresh, Limits: e.silence}
	return e
}

// search returns a function that finds a daemon by its id.
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

// silence returns the limits on the silence of endpoints in force.
func (e *Entry) silence() engine.Limits {
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

// ServeHTTP answers one request. Paths are compared as they are: none is
// cleaned, so that no two of them mean the same.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	path := r.URL.EscapedPath()
	if path == pathEntries {
		only(http.MethodGet, e.entries)(w, r)
		return
	}
	if err := e.ready(); err != nil {
		e.unready(w, r, err)
		return
	}
	switch {
	case path == pathModels:
		only(http.MethodGet, e.models)(w, r)
	case path == pathCompletions, path == pathChat:
		only(http.MethodPost, e.complete)(w, r)
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

// unready refuses a request before anything is known of it. One that the caller
// marks as sent again may have run at its first attempt.
func (e *Entry) unready(w http.ResponseWriter, r *http.Request, cause error) {
	err := reject("admit", Unready, cause)
	err.Retry = defaultBack
	if attempt := r.Header.Get(headerAttempt); attempt != "" && attempt != "1" {
		err.Ran = engine.Unknown
	}
	refuse(w, err, "")
	linger(w, r)
}

// only lets one method pass.
func only(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			refuse(w, reject("admit", BadMethod, nil), "")
			return
		}
		handle(w, r)
	}
}

// name makes an id that no other daemon or boot makes.
func (e *Entry) name() string {
	number := strconv.FormatUint(e.names.Add(1), 36)
	return e.options.Self + "-" + strconv.FormatUint(e.options.Boot, 36) + "-" + number
}

func (e *Entry) shuffle(addresses []Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.Rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}

// later runs a function that the caller does not wait for. Shutdown does.
func (e *Entry) later(limit time.Duration, work func(ctx context.Context)) {
	e.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		work(ctx)
	})
}
