// Package watch keeps a daemon's snapshot of its deployment: the configuration,
// the endpoints, the failure domains out of service, the other daemons and the
// keeper, as the platform's key-value store holds them. A Watcher lists the store
// once, then applies the changes that its watches return, and bounds the age of
// the snapshot, which only a revision of the store proves. It makes no decision about
// requests or groups.
//
// An endpoint has lapsed when its entry was removed during or shortly after an
// outage of the store and it was not draining. It may still run and register again,
// so the snapshot keeps it for a grace period.
package watch
