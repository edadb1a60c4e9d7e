package gate

import (
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// Setup is what the view and the roster say of a replica.
type Setup struct {
	Replica   fleet.Replica
	Confirmed time.Time // when the store last vouched for the view
	Serving   bool      // the replica's state is that of one that serves
	TakenOut  bool      // a member or its failure domain is out of service
	Named     bool      // this daemon is the gate
	Interim   bool      // this daemon stands in for the gate, which is dead
	Weak      bool      // another gate may stand, so only half of the limit is used
	Ramp      conf.Ramp
	Limits    conf.Limits
	Accounts  map[string]conf.Account
	Parts     map[string]float64 // of each account's rate that this replica may use
}

// Answer is the answer to an Ask.
type Answer struct {
	Ask      uint64
	Response *wire.AcquireResponse
}
