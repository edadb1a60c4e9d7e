package gossip

import "clementinehead.example/chead/site"

// Message is what a daemon reports to the others.
type Message struct {
	From      site.Daemon             `json:"from"`
	Ready     bool                    `json:"ready"`             // accepts requests of callers
	Fresh     bool                    `json:"fresh"`             // has a fresh copy of the store, and is not shutting down
	Revision  int64                   `json:"revision"`          // of its copy of the store
	Term      int64                   `json:"term"`              // newest term of a keeper that it knows
	Endpoints map[string]EndpointLoad `json:"heads,omitempty"`   // by endpoint ID
	Demand    map[string]int          `json:"demand,omitempty"`  // slots that its requests need, by "service/model"
	Queues    map[string]Queue        `json:"lines,omitempty"`   // waiting requests, by "service/model"
	Crashes   map[string]int          `json:"strikes,omitempty"` // crashes of endpoints, by digest of the request
	Groups    map[string]Group        `json:"groups,omitempty"`  // from the keeper only: its groups, by leading endpoint
}

// EndpointLoad is the load that one daemon causes at an endpoint, and what it observes
// there.
type EndpointLoad struct {
	Running      int  `json:"running"`
	UnreadTokens int  `json:"unread,omitempty"` // prompt tokens of its requests there that have sent no event yet
	Stalled      bool `json:"stuck,omitempty"`  // it observed no progress there, or could not reach it
}

// Queue describes the requests that wait at one daemon for a model or a plain service.
type Queue struct {
	InTime      int     `json:"soon,omitempty"`  // requests that can still be answered within their latency target
	Late        int     `json:"late,omitempty"`  // requests that can't
	FreeRate    float64 `json:"freed,omitempty"` // slots freed per second
	ArrivalRate float64 `json:"came,omitempty"`  // requests arriving per second
}

// Group is the keeper's announcement of a group.
type Group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Open  bool   `json:"open"` // whether it serves; false if the keeper is closing it
}
