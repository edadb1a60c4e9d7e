package gate

import (
	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/view"
)

// parts is the part of each client account's rate that one replica may use:
// an even share among the serving replicas that the account may use.
type parts struct {
	seen  *view.View
	parts map[string]float64
}

// update works the parts out again when the view is another one.
func (p *parts) update(v *view.View) {
	if v == p.seen {
		return
	}
	p.seen = v
	counts := map[string]int{}
	for key, group := range v.Document.Groups {
		count := 0
		for _, place := range v.Replicas(key) {
			if place.Replica.State == chart.Serving && !takenOut(v, place) {
				count++
			}
		}
		for _, account := range group.Accounts {
			counts[account] += count
		}
	}
	p.parts = make(map[string]float64, len(counts))
	for account, count := range counts {
		p.parts[account] = 1 / float64(max(1, count))
	}
}
