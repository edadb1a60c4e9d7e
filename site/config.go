package site

import (
	"slices"
	"strings"
	"time"
)

// Repeat says how often a request of a route may run.
type Repeat int

// The values of Repeat.
const (
	Idempotent Repeat = iota // may run more than once
	Once                     // at most once for each client attempt
	Streaming                // as Once, unless the route's streams may be resumed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Repeat -output=repeat_string.go

// Config is one version of the operators' configuration. It is immutable once
// decoded.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Open     bool               // there has never been a list of client accounts, so no request needs an API key; if not set, one needs a key even if Accounts has none
	Accounts map[string]Account // by API key
	Limits   Limits
}

// NeedsKey reports whether requests of a route need the API key of a client account.
func (c *Config) NeedsKey(r Route) bool { return !c.Open && !r.Public }

// Account returns the client account that has an API key, and whether there is one. An
// empty key belongs to none.
func (c *Config) Account(key string) (Account, bool) {
	if key == "" {
		return Account{}, false
	}
	account, known := c.Accounts[key]
	return account, known
}

// Route is a rule for requests to Host whose path begins with Prefix.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Repeat        Repeat
	Timeout       time.Duration // longest time that a caller is kept waiting
	TargetLatency time.Duration // an answer within it has its full value
	TargetGap     time.Duration // longest pause between two events of a stream that counts as in time
	Attempts      int           // endpoints that one request may be sent to, at most
	Priority      int           // 0 is the highest
	Public        bool          // no API key is needed
	Resume        bool          // a stream may continue at another endpoint
	Shares        []Share
}

// Repeatable reports whether a request of the route may run again.
func (r Route) Repeatable() bool {
	return r.Repeat == Idempotent || r.Repeat == Streaming && r.Resume
}

// Share is the fraction of a route's requests that goes to a service, by weight.
type Share struct {
	Service string
	Weight  int
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int  // overrides the route's if HasPriority
	HasPriority bool // Priority is configured
}

// Limits bound what a caller may send.
type Limits struct {
	Header     int64 // bytes
	Body       int64 // bytes
	HeaderTime time.Duration
	Idle       time.Duration
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name        string
	Health      string        // path of the health check
	Connections int           // most that one endpoint accepts, from all clients together
	Cold        time.Duration // how long an endpoint is cold after its start
	ColdRate    float64       // requests per second that a cold endpoint can serve
	Engine      *Engine       // nil for a plain service
}

// Engine describes the model engines of a service. Durations hold for a group of
// pace 1.
type Engine struct {
	Slots      int // requests that run at once
	Memory     int // tokens in the key-value cache
	Stride     int // steps per pass
	Step       time.Duration
	PerSeq     time.Duration // added to a step for each running request
	PerContext time.Duration // added to a step for every 1,000 tokens of context
	ReadRate   float64       // prompt tokens per second
	PerPairs   time.Duration // added to reading for every million pairs of tokens
	Chunk      int           // prompt tokens read in one step
	ReportLag  time.Duration // age of an engine's report when it is sent
	LoadRate   float64       // loads that may start per second
	Loads      int           // concurrent loads that still run at full speed
	Staged     int           // models that a host keeps staged
	FormTime   time.Duration
	Across     float64 // factor on all durations of a group with members in several fabric domains; 0 if there can be none
	Models     []Model
	Prompt     float64 // tokens, on average
	Answer     float64 // tokens, on average
}

// Model describes a model and the groups of endpoints that serve it.
type Model struct {
	Name  string
	Size  int           // endpoints in a group
	Share float64       // fraction of the endpoints, at the start
	Pace  float64       // factor on all durations of a group
	Load  time.Duration // to load the model
	Warm  time.Duration // to join a group when the model is staged
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Work returns the engine's time that a request takes of a group of the model: to read its
// prompt, which the group does for one request after the other, and to write its answer, a
// step of which is for all running requests.
func (e *Engine) Work(m Model, prompt, answer int) time.Duration {
	read := 0.0
	if e.ReadRate > 0 {
		read = float64(prompt) / e.ReadRate
	}
	write := float64(answer) * (e.Step.Seconds()/float64(max(1, e.Slots)) + e.PerSeq.Seconds())
	return time.Duration((read + write) * m.Pace * float64(time.Second))
}

// Ranks reports whether the routes to a service have different priorities, so that its
// callers compete.
func (c *Config) Ranks(service string) bool {
	first, found := 0, false
	for _, r := range c.Routes {
		if !r.serves(service) {
			continue
		}
		if found && r.Priority != first {
			return true
		}
		first, found = r.Priority, true
	}
	return false
}

// serves reports whether requests of the route go to a service.
func (r Route) serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Route returns the route of a host and a path. If several match, it is the one
// with the longest prefix.
func (c *Config) Route(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best, found = r, true
		}
	}
	return best, found
}

// EngineService returns the service with model engines. If there are several, it
// is the first by name.
func (c *Config) EngineService() (Service, bool) {
	first, found := Service{}, false
	for _, s := range c.Services {
		if s.Engine != nil && (!found || s.Name < first.Name) {
			first, found = s, true
		}
	}
	return first, found
}
