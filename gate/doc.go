// Package gate limits the requests in progress at each replica by permits.
//
// A replica has one gate: the daemon that its record in the store names. The
// daemon that accepted a request (its entry) dispatches it to a replica only
// with a permit of the replica's gate, and only while the permit is valid. The
// limit of an endpoint therefore holds for all daemons together, and one place
// decides at the time of dispatch whether the replica may serve.
//
// Core decides for one replica. Its methods take the time and an event and
// return the answers that are due. It has no clock, network or goroutines.
// Gate runs a Core for each replica whose gate is this daemon, probes the
// members, and serves the Gate service of package wire.
//
// Terms of the package:
//
//   - The leader is the first member of a replica, the endpoint that takes its
//     requests.
//   - A claim is the right of a gate to give permits under one fencing token.
//     Every change of a replica's gate raises the fencing token of its members,
//     and a gate stops giving permits at the first probe that shows another
//     token. A new gate's claim is held once no permit of the previous gate can
//     still be dispatched. It is held at once if the previous gate hands over,
//     or if no other gate can have held a claim since this gate last did.
//   - A block reason keeps a gate from giving permits, such as a silent member.
//   - An endpoint that has just started is cold. The ramp limits the requests in
//     progress there and grows with the requests that it has completed.
//   - An interim gate substitutes for a gate whose daemon is dead while the
//     store is down. A gate is reduced to half of its limit while it can't rule
//     out that an interim gate is active as well.
//   - A suspect is a request that was in progress when an endpoint crashed. It
//     runs alone, and is rejected after a second crash for as long as both
//     crashes are recorded.
//   - An orphan is a request that a gate which crashed left in progress. Its
//     permit id is not known.
//
// Client accounts get permits in proportion to their weights, by start-time
// fair queueing. Priority orders the requests of one account and never takes
// another account's share.
//
// The package does not choose the replica (see package route) and opens no
// streams (see package entry).
package gate
