package fleet

import "clementinehead.example/chead/wire"

// Daemons converts the daemons of a roster to the form that Step and Rendezvous
// use.
func Daemons(roster []*wire.Daemon) []Daemon {
	daemons := make([]Daemon, 0, len(roster))
	for _, d := range roster {
		standing := d.GetStanding()
		daemons = append(daemons, Daemon{
			ID:     d.GetId(),
			Domain: d.GetDomain(),
			Region: d.GetRegion(),
			Alive:  standing == wire.Standing_STANDING_ALIVE,
			Lost:   standing == wire.Standing_STANDING_DEAD || standing == wire.Standing_STANDING_LEAVING,
		})
	}
	return daemons
}
