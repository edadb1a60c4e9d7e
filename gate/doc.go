// Package gate gives permits. A replica has one gate, the daemon that its
// record names, and an entry dispatches a request to a replica only with a
// permit of its gate, within the permit's validity. So the limits of an
// endpoint hold for the sum of all daemons, and whether a replica may serve is
// judged at one place at the instant of dispatch.
//
// Core is the decision for one replica: its methods take the time and an event
// and return the answers that fall due. It has no clock, network or goroutine.
// Gate runs a Core for each replica that names this daemon, probes the
// members, and serves the Gate service of package wire.
//
// The right to give permits rests on the endpoints. Every change of a
// replica's gate raises the fencing number of its members, and a gate stops at
// the first probe that shows another number. A new gate waits until no permit
// of the old one can still be dispatched, unless the old one hands over.
//
// Shares: client accounts get permits in proportion to their weights, by
// start-time fair queueing. Priority orders the requests of one account among
// themselves and never takes another account's share.
//
// The package chooses no replica (see route) and opens no stream (see entry).
package gate
