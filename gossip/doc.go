// Package gossip exchanges the load and health of daemons over UDP, several times a
// second: the requests that each daemon has in progress at each endpoint, the
// endpoints that it observed to be stalled, its queues and its demand, the requests
// that crashed endpoints, whether it is ready, the revision of its copy of the store,
// and the newest term that it knows. The keeper also announces its groups.
//
// Two daemons of each failure domain are relays. The others follow one of them: they
// send it their own load and get the sum of all daemons' loads from it. Relays send
// each other the sums over their followers. So the messages that a daemon sends don't
// grow with the number of daemons.
//
// The messages are hints that save time. They may be lost, late or forged, so
// nothing that must hold may depend on them.
//
// Daemons of another build may leave fields out, and relays of an older one drop those that
// they don't know. So each field that is added is optional, and its zero value means that
// nothing is known (docs/design/builds.md).
package gossip
