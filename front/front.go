package front

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

const (
	staleRetry  = 300 * time.Millisecond // until another daemon is asked
	defaultWait = 30 * time.Second       // for a caller that names no deadline on a route without timeout
	bodyLimit   = 4 << 20                // bytes, until a configuration tells
)

// Options are what a Front needs.
type Options struct {
	View     func() *sight.View
	Age      func() time.Duration // of the view
	KeyLimit func() time.Duration // the oldest view by which a key is accepted
	Desk     *pick.Desk
	Pool     *conns.Pool
	Strikes  *Strikes
	Metrics  *Metrics
	Log      logr.Logger
}

// Front is the callers' interface. Use New.
type Front struct {
	options Options
	leaving atomic.Bool
	active  atomic.Int64
	usual   deadlines
}

// New returns a Front.
func New(o Options) *Front { return &Front{options: o} }

// Leave makes every further answer ask its caller to connect elsewhere.
func (f *Front) Leave() { f.leaving.Store(true) }

// Active returns how many requests are in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// job is one request on its way.
type job struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	until   time.Time     // the caller's deadline or the route's timeout
	spent   time.Duration // the caller's time before this attempt, as far as can be told
	route   site.Route
	service string
	account string
	model   string
	size    platform.Size
	digest  string
	rank    int
	header  http.Header
	body    []byte
	avoid   map[string]bool
	sends   int // to endpoints
	ran     int // sends that may have run
	tried   []string
	cause   string        // what ended the last send
	fault   string        // the error behind it
	queue   pick.Queue    // the line, where it got no place
	fit     int           // endpoints that serve its model or service, where it got no place
	load    int           // requests at the last endpoint that it was sent to
	read    time.Duration // until that endpoint should have read its prompt
	waited  time.Duration
	budget  pick.Spending // of the last repeat, allowed or not
	stream  stream
}

func (j *job) left() time.Duration { return time.Until(j.until) }

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{w: w, r: r, id: r.Header.Get(platform.HeaderRequest), arrived: time.Now(), avoid: map[string]bool{}}
	if refusal := f.admit(j); refusal != nil {
		f.refuse(j, refusal)
		return
	}
	f.options.Desk.Count(j.service)
	f.serve(j)
}

// refusal is an answer of our own.
type refusal struct {
	status int
	reason string
	after  time.Duration // when to come back, 0 for not told
}

// admit finds route and account, and reads the body.
func (f *Front) admit(j *job) *refusal {
	v := f.options.View()
	age := f.options.Age()
	if v.Config == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration yet", staleRetry}
	}
	stale := age > f.options.KeyLimit()
	route, found := v.Config.Route(hostOf(j.r), j.r.URL.Path)
	if !found {
		return staleOr(stale, http.StatusNotFound, "no such route")
	}
	j.route = route
	if limit := v.Config.Limits.Header; limit > 0 && headerSize(j.r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	if refused := f.identify(j, v.Config, stale); refused != nil {
		return refused
	}
	j.service = share(route.Shares, rand.IntN)
	wait := route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	deadline := platform.Deadline(j.r.Header, wait)
	j.until = j.arrived.Add(min(wait, deadline))
	j.spent = f.usual.spent(route.Name, deadline)
	j.header = platform.Outgoing(j.r.Header)
	if j.account != "" {
		j.header.Set(platform.HeaderAccount, j.account)
	}
	if s := v.Config.Services[j.service]; s.Engine != nil {
		j.model = j.r.Header.Get(platform.HeaderModel)
		j.size = platform.SizeOf(j.r.Header)
		j.header.Set(platform.HeaderRank, strconv.Itoa(min(9, max(0, j.rank))))
	}
	return f.read(j, v.Config.Limits)
}

// identify finds the client account. A stale view proves neither that a key is
// good nor that it is not.
func (f *Front) identify(j *job, c *site.Config, stale bool) *refusal {
	j.rank = j.route.Priority
	if len(c.Accounts) == 0 || j.route.Public {
		return nil
	}
	if stale {
		return staleOr(true, 0, "")
	}
	account, known := c.Accounts[platform.Key(j.r.Header)]
	if !known {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	j.account = account.Name
	if account.Ranked {
		j.rank = account.Priority
	}
	return nil
}

// staleOr refuses with a status, unless the view is too old to tell.
func staleOr(stale bool, status int, reason string) *refusal {
	if stale {
		return &refusal{http.StatusServiceUnavailable, "view too old", staleRetry}
	}
	return &refusal{status: status, reason: reason}
}

func (f *Front) read(j *job, limits site.Limits) *refusal {
	limit := limits.Body
	if limit <= 0 {
		limit = bodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body not whole"}
	}
	j.body = body
	j.digest = digest(j)
	return nil
}

// headerSize returns the bytes of a request's line and header.
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

// hostOf returns the host that a request names, without a port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return strings.TrimSuffix(r.Host, ".")
}

// share picks a service by weight.
func share(shares []site.Share, draw func(int) int) string {
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return shares[0].Service
	}
	n := draw(total)
	for _, s := range shares {
		n -= max(0, s.Weight)
		if n < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// refuse answers that the request was not served, and why.
func (f *Front) refuse(j *job, r *refusal) {
	h := j.w.Header()
	h.Set("Content-Type", "application/json")
	if j.id != "" {
		h.Set(platform.HeaderRequest, j.id)
	}
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(spread(r.after).Seconds(), 'f', 3, 64))
	}
	j.w.WriteHeader(r.status)
	_, _ = io.WriteString(j.w, `{"error":"`+r.reason+`"}`+"\n") // a caller that left needs no answer
	f.note(j, "refused", r.status, r.reason)
}

// spread lengthens a time by up to a half, so that callers who were refused
// together don't come back together.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}

// note logs and counts a request's end.
func (f *Front) note(j *job, outcome string, status int, reason string) {
	took := time.Since(j.arrived)
	f.options.Metrics.ended(j.account, outcome, status, took)
	v := f.options.View()
	version := int64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	f.options.Log.Info("request "+outcome,
		"id", j.id, "route", j.route.Name, "account", j.account, "model", j.model, "status", status, "reason", reason,
		"tried", strings.Join(j.tried, ","), "ran", j.ran, "load", j.load, "read_ms", j.read.Milliseconds(),
		"events", j.stream.passed, "first_ms", j.stream.first.Milliseconds(), "gap_ms", j.stream.gap.Milliseconds(),
		"ahead", j.queue.InTime+j.queue.Late, "fit", j.fit, "freed", round(j.queue.Rate), "arrivals", round(j.queue.Arrivals),
		"slack_ms", j.queue.Slack.Milliseconds(), "returned_ms", j.spent.Milliseconds(),
		"waited_ms", j.waited.Milliseconds(), "took_ms", took.Milliseconds(),
		"version", version, "revision", v.Revision, "age_ms", f.options.Age().Milliseconds())
}

// round shortens a rate for the log.
func round(v float64) float64 { return math.Round(v*10) / 10 }

// context returns the context in which a request is sent. What may run once
// only goes on when its caller has left.
func (j *job) context() (context.Context, context.CancelFunc) {
	parent := j.r.Context()
	if j.route.Repeat == site.Once {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, j.until)
}
