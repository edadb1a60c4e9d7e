// Package relay keeps a daemon's copy of the documents that all daemons share
// (the configuration and every fabric domain's value) and spreads their
// revisions.
//
// The key-value service holds the truth. The first live daemons of each failure
// domain, in rendezvous order, watch it; every daemon that learns of a newer
// revision offers it at once to a few random peers. Heartbeats carry a digest,
// by which a daemon that missed an offer finds out and fetches what it lacks
// (anti-entropy). A daemon never goes back to an older revision; one that
// starts while the service is down takes the documents from its peers and is
// not ready before one of them answered.
//
// The package writes nothing to the service and knows nothing of membership.
package relay
