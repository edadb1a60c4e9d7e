// Package keeper carries out placement for the fabric domains whose keeper is
// this daemon. A fabric domain is a set of instances of one failure domain; all
// members of a replica belong to the same one. The value of a fabric domain in the
// key-value service says which instances form which replica. The keeper of a fabric
// domain is the daemon that changes this value.
//
// The keeper works in rounds, one a second. In each round it probes the instances,
// has package fleet decide the next value, writes the value under compare-and-swap,
// and only then sends orders to the endpoints. A term is the time in which this
// daemon is the keeper of one fabric domain.
//
// A fabric domain counts as unreachable (dark, in logs and in the JSON of Status)
// while almost all its instances are silent to the keeper. The fault may then lie
// with the keeper's own network, so the keeper gives the fabric domain up if this
// lasts, and another daemon can take over.
//
// A lease of the key-value service elects the keeper: the keeper's key of a fabric
// domain is attached to the lease of the daemon that wrote the key. The lease only
// avoids duplicate work; correctness doesn't depend on it. Two keepers at once
// can't place an instance twice, because each write is conditional on the value
// that it was decided from, and each order carries the fencing token of the value
// that it came from.
//
// The package doesn't decide which replica may serve; package gate does.
package keeper
