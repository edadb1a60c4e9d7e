// Package roster tracks the membership of daemons by heartbeats. It gives every
// known daemon a standing: alive, suspect, leaving or dead.
//
// A daemon sends heartbeats to a bounded set of peers: to its successors on a
// hash ring in turn, and less often to a random peer. A heartbeat carries the
// entries that changed recently and a digest of the documents that the sender
// holds, so that a daemon that missed a revision notices it. If a daemon does
// not answer, other peers repeat the heartbeat before it is suspected. A
// suspected daemon refutes the suspicion by raising its incarnation.
//
// The package does not distribute documents (see package relay) and provides no
// agreement: two daemons may hold different rosters for a while, so safety must
// not depend on the roster. The key-value service is called when a daemon starts
// and ends and, rarely, to read all daemons' records again, but never for a
// heartbeat.
package roster
