package gossip

import (
	"clementinehead.example/chead/learn"
	"clementinehead.example/chead/site"
)

// Scope tells whose load a message holds.
type Scope int

// The values of Scope.
const (
	Own  Scope = iota // of the sender alone
	Part              // of a relay and the daemons that follow it
	All               // of all daemons that a relay knows of
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Scope -output=scope_string.go

// Message is what a daemon reports to the others. In a relay's message the loads,
// demands, queues, work and crashes are sums over the daemons of its scope.
type Message struct {
	From      site.Daemon             `json:"from"`
	Scope     Scope                   `json:"scope,omitempty"`
	Relay     string                  `json:"relay,omitempty"`   // ID of the relay that the sender follows; empty if it is one
	Ready     bool                    `json:"ready"`             // accepts callers: it is Fresh and has a configuration
	Fresh     bool                    `json:"fresh"`             // is not shutting down, and its copy of the store is recent
	Cut       bool                    `json:"cut,omitempty"`     // is cut off from endpoints
	Blind     bool                    `json:"blind,omitempty"`   // goes on, but has heard of no endpoint lately
	Revision  int64                   `json:"revision"`          // of its copy of the store
	Version   int64                   `json:"version"`           // of its configuration, 0 if it has none
	Term      int64                   `json:"term"`              // newest term of a keeper that it knows
	Traffic   bool                    `json:"traffic,omitempty"` // there were requests at some daemon
	Rewound   bool                    `json:"rewound,omitempty"` // the store came back from an older copy lately, which may lack what the daemon knows
	Endpoints map[string]EndpointLoad `json:"heads,omitempty"`   // by endpoint ID
	Demand    map[string]int          `json:"demand,omitempty"`  // slots that its requests would take if each was served on arrival, by "service/model"
	Queues    map[string]Queue        `json:"lines,omitempty"`   // waiting requests, by "service/model"
	Retries   map[string]Retries      `json:"retries,omitempty"` // by service
	Work      map[string]float64      `json:"work,omitempty"`    // seconds of endpoints' time that requests took lately, by client account; of the heaviest, and the rest as one
	Crashes   map[string]int          `json:"strikes,omitempty"` // crashes of endpoints, by digest of the request
	Parts     map[string]PromptPart   `json:"parts,omitempty"`   // parts of prompts that may crash endpoints, by ID
	Groups    map[string]Group        `json:"groups,omitempty"`  // the keeper's groups, by leader; only those that changed lately unless Full or of Scope Own
	Members   []Member                `json:"members,omitempty"` // daemons of the scope, if Full
	Full      bool                    `json:"full,omitempty"`    // a relay's message that has Members, Work and all Groups
}

// Member is a daemon of a relay's scope.
type Member struct {
	ID    string `json:"id"`
	Ready bool   `json:"ready,omitempty"`
	Fresh bool   `json:"fresh,omitempty"`
	Cut   bool   `json:"cut,omitempty"`
	Blind bool   `json:"blind,omitempty"`
	Age   int    `json:"age,omitempty"` // for which nothing was heard of the daemon itself, in tenths of a second, at the most
}

// EndpointLoad is the load that daemons cause at an endpoint, and what they observe
// there.
type EndpointLoad struct {
	Running      int     `json:"running"`           // requests in progress
	UnreadTokens int     `json:"unread,omitempty"`  // prompt tokens of those of its requests there whose response has had no event yet
	Tokens       int     `json:"tokens,omitempty"`  // reserved in its memory, where that matters
	Leaving      int64   `json:"leaving,omitempty"` // site.State.Started of the endpoint if it stated that it leaves
	Slow         bool    `json:"slow,omitempty"`    // its events are much further apart than expected
	Stalled      bool    `json:"stuck,omitempty"`   // it observed no progress there, or could not reach it
	Sent         int     `json:"sent,omitempty"`    // requests sent there lately, if it states a limit
	Limit        Limit   `json:"limit,omitzero"`
	Learned      Learned `json:"learned,omitzero"`
}

// Limit is what an endpoint stated in an answer of the requests that it takes. The zero
// value means that nothing is known of it.
type Limit struct {
	Started int64   `json:"started,omitempty"` // site.State.Started of the endpoint
	Rate    float64 `json:"rate,omitempty"`    // requests per second of all daemons together
	Ended   bool    `json:"ended,omitempty"`   // it states no limit any more
	Age     int     `json:"age,omitempty"`     // of the answer, in milliseconds, at least 1
}

// known reports whether the endpoint stated anything.
func (l Limit) known() bool { return l.Age > 0 }

// Learned is what requests at an endpoint showed of how much it takes. It is passed on only
// of endpoints that deviate from their configuration and from the others of their model.
// The zero value means that nothing is known.
type Learned struct {
	Started int64      `json:"started,omitempty"` // site.State.Started of the endpoint
	Age     int        `json:"age,omitempty"`     // of the newest sample, in milliseconds, at least 1
	Gaps    learn.Sums `json:"gaps,omitzero"`     // times between events
	Firsts  learn.Sums `json:"firsts,omitzero"`   // times to the first event or the answer
}

// Known reports whether anything is known.
func (l Learned) Known() bool { return l.Age > 0 }

// Queue describes the requests that wait at daemons for a model or a plain service.
type Queue struct {
	InTime      int     `json:"soon,omitempty"`  // requests that can still be answered within their latency target
	Late        int     `json:"late,omitempty"`  // requests that can't
	FreeRate    float64 `json:"freed,omitempty"` // slots freed per second
	ArrivalRate float64 `json:"came,omitempty"`  // requests arriving per second, without retries
}

// PromptPart is what daemons know of a part of prompts that may crash endpoints.
type PromptPart struct {
	Crashes  int `json:"crashes,omitempty"`  // crashes that it is suspected of
	Survived int `json:"survived,omitempty"` // daemons at which a request with it survived lately
	Refused  int `json:"refused,omitempty"`  // in seconds: for how long requests with it are refused
}

// Group is the keeper's announcement of a group.
type Group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Open  bool   `json:"open"` // whether it is in the stage of serving; false while it forms, opens, closes or ends
}
