package edge

import (
	"clementinehead.example/chead/reach"
	"clementinehead.example/chead/watch"
)

// fresh reports whether this daemon reaches the store and does not shut down.
func (d *Daemon) fresh() bool { return !d.leaving.Load() && d.watcher.Age() < maxReadyAge }

// othersReachStore reports whether most of the other daemons that are heard reach the store
// and don't shut down, so that it is this one alone that doesn't. If it hears none of those
// that are listed, they tell nothing: it is cut off itself unless it reaches endpoints.
func (d *Daemon) othersReachStore() bool {
	heard, fresh := 0, 0
	for _, m := range d.gossip.Alive() {
		heard++
		if m.Fresh {
			fresh++
		}
	}
	if heard == 0 && d.listedCount() > 1 {
		return d.reach.State() != reach.Sound
	}
	return 2*fresh > heard
}

// mayFollow reports whether changes need not be in force before a relay that lost the
// store is noticed.
func (s Settings) mayFollow() bool { return s.apply() >= watch.MinRelayedApply }

// storeRelays returns the addresses of the relays that this daemon has the store's
// changes from, or none if it reads the store itself, as relays and the keeper do.
func (d *Daemon) storeRelays() []string {
	if d.keeper.IsKeeper() || !d.settings().mayFollow() {
		return nil
	}
	var addresses []string
	for _, r := range d.gossip.Relays() {
		addresses = append(addresses, r.Peer)
	}
	return addresses
}
