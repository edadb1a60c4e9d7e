// Package roster keeps the membership of daemons: who is alive, suspect,
// leaving or dead, by heartbeats to a bounded set of peers.
//
// A daemon beats its ring successors in turn and now and then a random peer.
// A beat carries the entries that changed lately and a digest of the documents
// that the sender holds, so that a daemon which missed a revision finds out. A
// beat without an answer is repeated through other peers before the target is
// suspected, and a suspected daemon refutes by raising its incarnation.
//
// The package does not spread documents (package relay does) and decides
// nothing by agreement: two daemons may believe different things for a while,
// and safety must not rest on what the roster says. The key-value service is
// called when a daemon starts and ends, never for a heartbeat.
package roster
