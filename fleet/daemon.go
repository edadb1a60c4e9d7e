package fleet

import "clementinehead.example/chead/wire"

// Daemons converts the daemons of a roster to the form that Step and Rendezvous
// use.
func Daemons(roster []*wire.Daemon) []Daemon {
	daemons := make([]Daemon, 0, len(roster))
	for _, d := range roster {
		status := d.GetStanding()
		daemons = append(daemons, Daemon{
			ID:     d.GetId(),
			Domain: d.GetDomain(),
			Region: d.GetRegion(),
			Alive:  status == wire.Standing_STANDING_ALIVE,
			Lost:   status == wire.Standing_STANDING_DEAD || status == wire.Standing_STANDING_LEAVING,
		})
	}
	return daemons
}
