package gossip

import "clementinehead.example/chead/site"

// Message is what a daemon reports to the others.
type Message struct {
	From      site.Daemon             `json:"from"`
	Ready     bool                    `json:"ready"`             // accepts callers: it is Fresh and has a configuration
	Fresh     bool                    `json:"fresh"`             // is not shutting down, and its copy of the store is recent
	Revision  int64                   `json:"revision"`          // of its copy of the store
	Version   int64                   `json:"version"`           // of its configuration, 0 if it has none
	Term      int64                   `json:"term"`              // newest term of a keeper that it knows
	Endpoints map[string]EndpointLoad `json:"heads,omitempty"`   // by endpoint ID
	Demand    map[string]int          `json:"demand,omitempty"`  // slots that its requests would take if each was served on arrival, by "service/model"
	Queues    map[string]Queue        `json:"lines,omitempty"`   // waiting requests, by "service/model"
	Crashes   map[string]int          `json:"strikes,omitempty"` // crashes of endpoints, by digest of the request
	Groups    map[string]Group        `json:"groups,omitempty"`  // from the keeper only: its groups, by leader
}

// EndpointLoad is the load that one daemon causes at an endpoint, and what it observes
// there.
type EndpointLoad struct {
	Running      int   `json:"running"`           // requests in progress
	UnreadTokens int   `json:"unread,omitempty"`  // prompt tokens of those of its requests there whose response has had no event yet
	Leaving      int64 `json:"leaving,omitempty"` // site.State.Started of the endpoint if it stated that it leaves
	Slow         bool  `json:"slow,omitempty"`    // its events are much further apart than expected
	Stalled      bool  `json:"stuck,omitempty"`   // it observed no progress there, or could not reach it
}

// Queue describes the requests that wait at one daemon for a model or a plain service.
type Queue struct {
	InTime      int     `json:"soon,omitempty"`  // requests that can still be answered within their latency target
	Late        int     `json:"late,omitempty"`  // requests that can't
	FreeRate    float64 `json:"freed,omitempty"` // slots freed per second
	ArrivalRate float64 `json:"came,omitempty"`  // requests arriving per second, without retries
}

// Group is the keeper's announcement of a group.
type Group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Open  bool   `json:"open"` // whether it is in the stage of serving; false while it forms, opens, closes or ends
}
