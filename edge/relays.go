package edge

import (
	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// fresh reports whether this daemon reaches the store and does not shut down.
func (d *Daemon) fresh() bool { return !d.leaving.Load() && d.watcher.Age() < maxReadyAge }

// outagePart is the part of the known daemons, in fifths, that must be without the store for
// that to be an outage. If fewer are, they may be cut off together.
const outagePart = 2

// othersReachStore reports whether there is no evidence that the store is away for others
// too, by those that are heard and don't shut down.
func (d *Daemon) othersReachStore() bool {
	o := d.others()
	return reachesStore(o.heard, o.listed)
}

// reachesStore reports whether most of the other daemons that are heard reach the store, or
// so many of the known ones aren't heard that this daemon may be cut off, with others or
// alone.
func reachesStore(heard []gossip.Message, known int) bool {
	without := 1 // this daemon
	for _, m := range heard {
		if !m.Fresh {
			without++
		}
	}
	fresh := len(heard) - (without - 1)
	return 2*fresh > len(heard) || 5*without < outagePart*known
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

// soleIndex is the number of known daemons up to which one reads the store's revision for
// all; beyond it, one of each failure domain does for its own, which divides the calls.
const soleIndex = 30

// indexDaemon returns the address of the daemon that reads the store's revision for this
// one, too, or an empty string if this one reads it.
func (d *Daemon) indexDaemon() string {
	o := d.others()
	return firstFresh(d.self, o.current, o.listed > soleIndex)
}

// firstFresh returns the address of the first daemon, by site.Daemon.Precedes, of those that
// are heard and reach the store, of the own failure domain alone if local is set. It is
// empty if this daemon precedes them.
func firstFresh(self site.Daemon, heard []gossip.Message, local bool) string {
	first := self
	for _, m := range heard {
		if m.Fresh && m.From.Precedes(first) && (!local || m.From.Domain == self.Domain) {
			first = m.From
		}
	}
	if first.ID == self.ID {
		return ""
	}
	return first.Peer
}
