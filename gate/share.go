package gate

import (
	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/view"
)

// rateShares holds the fraction of each client account's rate that one replica
// may use. The rate is divided evenly among the serving replicas that the account
// may use.
type rateShares struct {
	view   *view.View         // from which shares was computed
	shares map[string]float64 // by client account
}

// update computes the shares again when the view has changed.
func (s *rateShares) update(v *view.View) {
	if v == s.view {
		return
	}
	s.view = v
	counts := map[string]int{}
	for key, group := range v.Document.Groups {
		count := 0
		for _, location := range v.Replicas(key) {
			if location.Replica.State == chart.Serving && !takenOut(v, location) {
				count++
			}
		}
		for _, account := range group.Accounts {
			counts[account] += count
		}
	}
	s.shares = make(map[string]float64, len(counts))
	for account, count := range counts {
		s.shares[account] = 1 / float64(max(1, count))
	}
}
