package front

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	Placer      *pick.Placer
	Pool        *conns.Pool
	Reach       *reach.Reach
	Self        string // ID of this daemon
	Hold        *hold.Book
	Crashes     *Crashes
	Parts       *Parts
	Metrics     *Metrics
	Log         logr.Logger
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
	service    string        // chosen among those of the route
	account    string        // name of the client account, empty if none is needed
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

// refusal is an error response that the daemon itself gives.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // lengthened by jitter; 0 for no Retry-After header
	elsewhere  bool          // another daemon may take the request
}

// admit finds the route and the client account of a request and reads its body.
// It returns nil if the request is accepted.
func (f *Front) admit(j *job) *refusal {
	stale := f.options.SnapshotAge() > f.options.MaxKeyAge()
	v := f.options.Snapshot() // after its age: it may be replaced in between
	if v.Config == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration yet", defaultRetryAfter, true}
	}
	route, found := v.Config.Route(hostOf(j.r), j.r.URL.Path)
	if !found {
		return staleOr(stale || j.outdated, http.StatusNotFound, "no such route")
	}
	j.route = route
	if limit := v.Config.Limits.Header; limit > 0 && headerSize(j.r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	if refused := f.identify(j, v.Config, stale); refused != nil {
		return refused
	}
	service, found := chooseService(route.Shares, rand.IntN)
	if !found {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no service has a weight", retryAfter: defaultRetryAfter}
	}
	j.service = service
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := platform.Deadline(j.r.Header, timeout)
	j.deadline = j.arrived.Add(min(timeout, deadline))
	j.progress.deadline.Store(int64(min(timeout, deadline)))
	j.priorTime = f.deadlines.priorTime(route.Name, deadline)
	j.header = platform.Outgoing(j.r.Header)
	if j.account != "" {
		j.header.Set(platform.HeaderAccount, j.account)
	}
	if s := v.Config.Services[j.service]; s.Engine != nil {
		j.model = j.r.Header.Get(platform.HeaderModel)
		j.size = platform.ParseSize(j.r.Header)
		j.parts = platform.SharedParts(j.r.Header)
		j.header.Set(platform.HeaderPriority, strconv.Itoa(min(9, max(0, j.priority))))
	}
	if j.relay.Daemon != "" {
		j.route.Attempts = min(j.route.Attempts, j.relay.Attempts)
	}
	return f.readBody(j, v.Config.Limits)
}

// identify finds the client account by the request's key, and the priority. A
// stale snapshot proves neither that a key is valid nor that it is invalid, so keys
// are not checked by it. It isn't known by which account a request came that needs no
// key.
func (f *Front) identify(j *job, c *site.Config, stale bool) *refusal {
	j.priority = j.route.Priority
	if !c.NeedsKey(j.route) {
		return nil
	}
	if stale {
		return staleOr(true, 0, "")
	}
	account, known := c.Account(platform.APIKey(j.r.Header))
	if !known {
		return staleOr(j.outdated, http.StatusUnauthorized, "unknown key")
	}
	j.account = account.Name
	if account.HasPriority {
		j.priority = account.Priority
	}
	return nil
}

// staleOr returns a refusal with the given status and reason, or the refusal due
// to a stale snapshot or an outdated configuration if stale is set.
func staleOr(stale bool, status int, reason string) *refusal {
	if stale {
		return &refusal{http.StatusServiceUnavailable, "view too old", defaultRetryAfter, true}
	}
	return &refusal{status: status, reason: reason}
}

// headerSize returns the size in bytes of the request line and the header.
func headerSize(r *http.Request) int64 {
	const separators = 4 // ": " and the line's end
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	n += len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return strings.TrimSuffix(r.Host, ".")
}

// chooseService chooses a service at random by weight. It reports false if none has a
// weight above 0, so that no request is to be sent to any. The function random returns a
// random number in [0, n).
func chooseService(shares []site.Share, random func(int) int) (service string, found bool) {
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return "", false
	}
	n := random(total)
	for _, s := range shares {
		n -= max(0, s.Weight)
		if n < 0 {
			return s.Service, true
		}
	}
	return "", false
}
