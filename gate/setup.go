package gate

import (
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// Setup is the input of a Core that comes from the view and the roster.
type Setup struct {
	Replica    fleet.Replica
	VerifiedAt time.Time // when the store last confirmed, to this daemon or a peer, that the view is current
	Serving    bool      // the replica is in the state Serving
	TakenOut   bool      // a member or its failure domain is out of service
	Named      bool      // the replica's record names this daemon as its gate
	Interim    bool      // this daemon substitutes for the named gate, which is dead
	Reduced    bool      // another gate may be active, so only half of the limit is used
	Ramp       conf.Ramp
	Limits     conf.Limits
	Accounts   map[string]conf.Account
	RateShares map[string]float64 // by account: fraction of its rate that this replica may use
}

// Answer is the answer to the request with the number ID, as returned by
// Acquire.
type Answer struct {
	ID       uint64
	Response *wire.AcquireResponse
}
