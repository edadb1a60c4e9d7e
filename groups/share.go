package groups

import (
	"math"
	"sort"
	"time"

	"clementinehead.example/chead/site"
)

// balance is how well served a model is: its number of groups against its target.
type balance struct {
	model  site.Model
	groups int     // present, up to and including stage serving, without slower ones
	slower float64 // capacity of its spread groups and of those with slow members, in other groups
	target float64 // number of groups for its share of the endpoints
}

// ratio returns the capacity in groups relative to the target, and a very large value
// if the target is not positive.
func (b balance) ratio() float64 {
	if b.target <= 0 {
		return 1e9
	}
	return (float64(b.groups) + b.slower) / b.target
}

// balances returns the balance of each model, the most underserved model first.
func (p *Planner) balances(snap Snapshot) []balance {
	usable := 0
	for _, e := range snap.Endpoints {
		if e.Usable && !e.Silent {
			usable++
		}
	}
	shares := p.shares(snap)
	var all []balance
	for _, m := range snap.Engine.Models {
		b := balance{model: m, target: float64(usable) * shares[m.Name] / float64(m.Size)}
		for _, g := range p.groups {
			switch {
			case g.model.Name != m.Name || g.stage > serving:
			case g.spread:
				b.slower += 1 / max(1, snap.Engine.Across) / p.pace(g)
			case p.pace(g) >= slowPace:
				b.slower += 1 / p.pace(g)
			default:
				b.groups++
			}
		}
		all = append(all, b)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].ratio() < all[j].ratio() })
	return all
}

// smoothDemand updates the exponentially smoothed demand for each model.
func (p *Planner) smoothDemand(snap Snapshot) {
	elapsed := snap.Now - p.demandAt
	if p.demandAt == 0 {
		elapsed = 0
	}
	p.demandAt = snap.Now
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	for _, m := range snap.Engine.Models {
		p.demand[m.Name] += weight * (float64(snap.Demand[m.Name]) - p.demand[m.Name])
	}
}

// shares returns the fraction of the endpoints that each model should have: the
// share that operators expect, and with traffic also that of its demand, weighted by
// the size of its groups.
func (p *Planner) shares(snap Snapshot) map[string]float64 {
	expected := map[string]float64{}
	demanded := map[string]float64{}
	totalDemand := 0.0
	for _, m := range snap.Engine.Models {
		expected[m.Name] = m.Share
		demanded[m.Name] = p.demand[m.Name] * math.Pow(float64(m.Size), sizeExponent)
		totalDemand += p.demand[m.Name]
	}
	normalize(expected)
	normalize(demanded)
	if totalDemand < minDemand {
		return expected
	}
	for name := range expected {
		expected[name] += demandFraction * (demanded[name] - expected[name])
	}
	return expected
}

// normalize scales shares to a sum of 1, or makes them equal if all are 0.
func normalize(shares map[string]float64) {
	total := 0.0
	for _, v := range shares {
		total += v
	}
	for name := range shares {
		if total > 0 {
			shares[name] /= total
		} else {
			shares[name] = 1 / float64(len(shares))
		}
	}
}

const (
	demandTime     = 2500 * time.Millisecond // time constant of the smoothed demand
	demandFraction = 0.7                     // fraction of a share that follows the demand
	sizeExponent   = 1.3                     // exponent of a group's size in the weight of demand: larger groups break more often
	minDemand      = 8                       // slots, summed over all models; a smaller demand is ignored
)
