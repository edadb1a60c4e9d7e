package gate

import (
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// Substitutes returns the ids of the living daemons in the order in which they
// substitute for the dead gate of a replica while the store is down. Daemons of
// the replica's failure domain come first, then those of its region, then all
// others, each in rendezvous order. Daemons with the same roster compute the
// same order.
func Substitutes(v *view.View, daemons []*wire.Daemon, replica string) []string {
	location, ok := v.Locate(replica)
	if !ok {
		return nil
	}
	return substitutes(replica, location.Domain, v.Document, daemons)
}

func substitutes(replica, domain string, document conf.Document, daemons []*wire.Daemon) []string {
	region := document.Domains[domain].Region
	return fleet.Rendezvous(replica, domain, region, fleet.Daemons(daemons))
}
