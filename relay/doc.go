// Package relay distributes the shared documents (the configuration and the
// value of every fabric domain) to all daemons and builds each daemon's view
// from them.
//
// The key-value service holds the authoritative documents. Two daemons of each
// failure domain, the first live ones in rendezvous order, watch it. A daemon
// that receives a newer revision offers it at once to a few random peers.
// Heartbeats carry a digest of the documents, so that a daemon that missed an
// offer notices it and fetches the missing revisions (anti-entropy). A daemon
// never replaces a document by an older revision. A daemon that starts while the
// service is unavailable fetches the documents from its peers and is not ready
// until a ready peer has answered.
//
// A document is verified as of the latest time at which it is known to have been
// as new as the service's: either the service answered this daemon, or a ready
// peer with equal documents reported its own verification.
//
// The package writes nothing to the service and does not track membership (see
// package roster).
package relay
