package front

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/hold"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/reach"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

const (
	defaultRetryAfter = 300 * time.Millisecond // Retry-After where no other time is known; callers then try another daemon
	defaultTimeout    = 30 * time.Second       // of a request without a deadline on a route without a timeout
	defaultBodyLimit  = 4 << 20                // bytes, if the configuration has no limit
)

// Options configure a Front. All fields are required.
type Options struct {
	Snapshot    func() *watch.Snapshot
	SnapshotAge func() time.Duration // of the latest snapshot
	MaxKeyAge   func() time.Duration // the greatest age of a snapshot by which keys are accepted
	// Basis tells what shows that the configuration of a snapshot is the newest that was put in
	// force, and whether keys are accepted by that.
	Basis   func(*watch.Snapshot) (basis string, holds bool)
	Placer  *pick.Placer
	Pool    *conns.Pool
	Reach   *reach.Reach
	Self    string // ID of this daemon
	Hold    *hold.Book
	Crashes *Crashes
	Parts   *Parts
	Metrics *Metrics
	Log     logr.Logger
}

// Front is an http.Handler that forwards callers' requests to endpoints. Use New to
// create one.
type Front struct {
	options   Options
	began     time.Time
	phase     atomic.Int32
	jobs      jobs
	refused   atomic.Int64 // requests that came too late in a shutdown
	deadlines deadlines
	fullAt    atomic.Int64 // when the log last told of the memory bound, in ns since 1970
	newest    atomic.Int64 // newest version of the configuration by which a daemon that requests were sent through went
}

// New returns a Front.
func New(o Options) *Front { return &Front{options: o, began: time.Now()} }

// job is the state of one request in progress.
type job struct {
	w          http.ResponseWriter
	r          *http.Request
	id         string
	arrived    time.Time
	deadline   time.Time     // by the caller's deadline or the route's timeout, whichever is sooner
	priorTime  time.Duration // spent by the caller on earlier tries of its own, as estimated by deadlines
	route      site.Route
	service    string // chosen among those of the route
	keyed      bool   // it was admitted by an API key
	account    string // name of the client account, if keyed
	admission  admission
	model      string        // empty for a plain service
	size       platform.Size // as stated by the caller, for a model
	digest     string        // identifies the request in Crashes
	parts      []string      // of its prompt, those that other requests may share
	priority   int           // 0 is the most urgent
	header     http.Header   // of the request to endpoints
	body       []byte
	tries      tries
	queue      pick.QueueState    // state of the queue, if the last try got no slot
	eligible   int                // endpoints that serve its model or service, if the last try got no slot
	served     int                // requests that the last connection to an endpoint had carried before
	load       int                // requests in progress at the last endpoint it was sent to
	prefill    time.Duration      // expected time until that endpoint has processed the prompt
	waited     time.Duration      // for slots, in all tries
	retry      pick.RetryDecision // what the retry budget answered to the last retry
	stream     stream
	denied     hurdle         // why the last silent send had no successor
	watch      *watchdog      // of the present send
	successor  *exchange      // of the last send, for the next try
	successors sync.WaitGroup // the opening of successors
	progress   progress
	writes     sync.Mutex     // guards written
	written    bool           // nothing more is written to the caller
	unlogged   bool           // the end isn't logged
	relay      platform.Relay // if another daemon sent the request here
	outdated   bool           // another daemon handled a request of this one's callers by a newer configuration
	outlet     outlet
	share      *hold.Share  // of the bytes held, nil until the request's body is read
	evicted    atomic.Int64 // the hold.Reason why it had to give way, if it had
	noRoom     atomic.Bool  // an answer was given up for want of memory
	gone       atomic.Bool  // its connection has been closed by the caller
	status     int          // of the stream's response, once it is whole
}

// remaining returns the time until the deadline of a request.
func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

// ServeHTTP forwards one request, or refuses it.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{w: w, r: r, id: r.Header.Get(platform.HeaderRequest), arrived: time.Now()}
	f.jobs.add(j)
	defer f.remove(j)
	f.awaitStart(r.Context())
	j.outdated = !f.awaitVersion(r.Context(), f.newest.Load())
	if refusal := f.admitUnlessStopped(j); refusal != nil {
		f.refuse(j, refusal)
		return
	}
	f.options.Placer.CountRequest(j.service)
	f.serve(j)
}
