package site

import (
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

// Config is one version of what operators configured. It is never changed once
// made.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts map[string]Account // by key; empty where no request needs one
	Limits   Limits
}

// Route is a rule for requests to a host whose path begins with Prefix.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Repeat   Repeat
	Timeout  time.Duration // the longest time that a caller is kept waiting
	Aim      time.Duration // an answer within it has its full value
	Gap      time.Duration // the longest pause between events of a stream that is in time
	Attempts int           // endpoints that one request may be sent to
	Priority int           // 0 is the most urgent
	Public   bool          // needs no key
	Resume   bool          // a stream may go on at another endpoint
	Shares   []Share
}

// Repeatable reports whether a request of the route may run again.
func (r Route) Repeatable() bool {
	return r.Repeat == Idempotent || r.Repeat == Streaming && r.Resume
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int  // goes before the route's, where Ranked
	Ranked   bool // Priority was given
}

// Limits bound what a caller may send.
type Limits struct {
	Header     int64 // bytes
	Body       int64 // bytes
	HeaderTime time.Duration
	Idle       time.Duration
}

// Service is a set of equal endpoints.
type Service struct {
	Name        string
	Health      string // path of the health check
	Connections int    // the most that one endpoint takes from all callers together
	Cold        time.Duration
	ColdRate    float64 // requests a second that a cold endpoint bears
	Engine      *Engine // nil for a plain service
}

// Engine describes the model engines of a service. Times are those of a group
// of pace 1.
type Engine struct {
	Slots      int
	Memory     int // tokens
	Stride     int // steps in one pass
	Step       time.Duration
	PerSeq     time.Duration // added to a step by each running request
	PerContext time.Duration // added to a step by 1,000 tokens of context
	ReadRate   float64       // prompt tokens a second
	PerPairs   time.Duration // added to reading by a million pairs of tokens
	Chunk      int           // prompt tokens in one step
	ReportLag  time.Duration
	LoadRate   float64 // loads that may begin in a second
	Loads      int     // loads at once at full speed
	Staged     int     // models that a host keeps
	Form       time.Duration
	Models     []Model
	Prompt     float64 // tokens, on average
	Answer     float64 // tokens, on average
}

// Model is a model and the group of endpoints that it takes.
type Model struct {
	Name  string
	Size  int     // endpoints in a group
	Share float64 // of the endpoints, at the start
	Pace  float64 // factor on all times of a group
	Load  time.Duration
	Warm  time.Duration // to join with the model staged
}

// Model returns the model of a name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Route returns the route of a host and a path, the one with the longest
// prefix.
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

// EngineService returns the service with model engines, the first by name.
func (c *Config) EngineService() (Service, bool) {
	first, found := Service{}, false
	for _, s := range c.Services {
		if s.Engine != nil && (!found || s.Name < first.Name) {
			first, found = s, true
		}
	}
	return first, found
}
