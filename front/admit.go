package front

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// refusal is an error response that the daemon itself gives.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // lengthened by jitter; 0 for no Retry-After header
	elsewhere  bool          // another daemon may take the request
}

// admission is what a request was admitted by. The zero value is that of one that was not.
type admission struct {
	version int64         // of the configuration
	era     int64         // of the store
	basis   string        // what showed that configuration to be the newest, or why no key was needed
	age     time.Duration // of the snapshot
}

// Reasons for which a request needs no key, as the basis of its admission.
const (
	publicRoute = "publicRoute"
	noAccounts  = "noAccounts" // no configuration has had client accounts
)

// admit finds the route and the client account of a request and reads its body.
// It returns nil if the request is accepted.
func (f *Front) admit(j *job) *refusal {
	age := f.options.SnapshotAge()
	stale := age > f.options.MaxKeyAge()
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
	basis, refused := f.identify(j, v, stale)
	if refused != nil {
		return refused
	}
	j.admission = admission{version: v.Config.Version, era: v.Era, basis: basis, age: age}
	service, found := chooseService(route.Shares, rand.IntN)
	if !found {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no service has a weight", retryAfter: defaultRetryAfter}
	}
	j.service = service
	f.setDeadline(j)
	j.header = platform.Outgoing(j.r.Header)
	if j.keyed {
		j.header.Set(platform.HeaderAccount, j.account)
	}
	if v.Config.Services[j.service].Engine != nil {
		j.describeModelRequest()
	}
	if j.relay.Daemon != "" {
		j.route.Attempts = min(j.route.Attempts, j.relay.Attempts)
	}
	return f.readBody(j, v.Config.Limits)
}

// setDeadline sets the deadline by the caller's and the route's timeout, and the time that the
// caller spent on earlier tries.
func (f *Front) setDeadline(j *job) {
	timeout := j.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := platform.Deadline(j.r.Header, timeout)
	j.deadline = j.arrived.Add(min(timeout, deadline))
	j.progress.deadline.Store(int64(min(timeout, deadline)))
	j.priorTime = f.deadlines.priorTime(j.route.Name, deadline)
}

// describeModelRequest sets what the headers of a request for a model say of it, and its
// priority for the endpoint.
func (j *job) describeModelRequest() {
	j.model = j.r.Header.Get(platform.HeaderModel)
	j.size = platform.ParseSize(j.r.Header)
	j.parts = platform.SharedParts(j.r.Header)
	j.header.Set(platform.HeaderPriority, strconv.Itoa(min(9, max(0, j.priority))))
}

// identify finds the client account by the request's key, and the priority, and returns the
// basis of the request's admission. A stale snapshot proves neither that a key is valid nor
// that it is invalid, and nor does one that isn't shown to hold the newest configuration, so
// keys are not checked by these. A request that needs no key has no account.
func (f *Front) identify(j *job, v *watch.Snapshot, stale bool) (basis string, refused *refusal) {
	j.priority = j.route.Priority
	switch {
	case j.route.Public:
		return publicRoute, nil
	case !v.Config.NeedsKey(j.route):
		return noAccounts, nil
	}
	basis, holds := f.options.Basis(v)
	if !holds {
		return "", &refusal{http.StatusServiceUnavailable, "configuration not shown to be the newest", defaultRetryAfter, true}
	}
	if stale {
		return "", staleOr(true, 0, "")
	}
	account, known := v.Config.Account(platform.APIKey(j.r.Header))
	if !known {
		return "", staleOr(j.outdated, http.StatusUnauthorized, "unknown key")
	}
	j.keyed, j.account = true, account.Name
	if account.HasPriority {
		j.priority = account.Priority
	}
	return basis, nil
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
