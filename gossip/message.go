package gossip

import "clementinehead.example/chead/site"

// Message is what a daemon tells of itself.
type Message struct {
	From     site.Daemon      `json:"from"`
	Ready    bool             `json:"ready"`             // takes callers
	Fresh    bool             `json:"fresh"`             // reaches the store
	Revision int64            `json:"revision"`          // of its picture of the store
	Term     int64            `json:"term"`              // newest keeper's term that it knows
	Heads    map[string]Head  `json:"heads,omitempty"`   // by endpoint
	Demand   map[string]int   `json:"demand,omitempty"`  // requests in progress or waiting, by model
	Lines    map[string]Line  `json:"lines,omitempty"`   // of those that wait, by model
	Strikes  map[string]int   `json:"strikes,omitempty"` // crashes by request's digest
	Groups   map[string]Group `json:"groups,omitempty"`  // of the keeper: what it knows to be open, by head
}

// Head is one daemon's dealing with an endpoint.
type Head struct {
	Running int  `json:"running"`
	Unread  int  `json:"unread,omitempty"` // prompt tokens of requests there that have not begun
	Stuck   bool `json:"stuck,omitempty"`  // none of its requests there made progress
}

// Line is those that wait at one daemon for a model or a service.
type Line struct {
	Soon  int     `json:"soon,omitempty"`  // they can still be answered within their aim
	Late  int     `json:"late,omitempty"`  // they can't
	Freed float64 `json:"freed,omitempty"` // places that come free in a second
	Came  float64 `json:"came,omitempty"`  // requests that arrive in a second
}

// Group is a group that serves.
type Group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Open  bool   `json:"open"` // false: the keeper is ending it
}
