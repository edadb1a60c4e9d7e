package pick

import (
	"time"

	"clementinehead.example/chead/gossip"
)

const (
	spentPeriod = time.Second            // over which a daemon counts what it reports, as gossip.Retries
	maxUnheard  = time.Second            // longest time for which one report counts
	inheritTime = 2 * time.Second        // after a start, in which the others tell what was spent before
	minNews     = 300 * time.Millisecond // least time in which others may spend what isn't known here
)

// spent is what the other daemons sent to a service within a window, added up from their
// reports. So it remembers daemons that have ended since. The zero value is empty.
type spent struct {
	samples   []sample
	updated   time.Time // of the latest sample
	inherited float64   // retries before this daemon's first sample, as others told
	first     time.Time // of the first sample
}

// sample is what the other daemons sent between two updates.
type sample struct {
	at             time.Time
	asked, retried float64
}

// update adds what the other daemons report now, and forgets what is older than the window.
func (s *spent) update(report gossip.Retries, since, now time.Time, window time.Duration) {
	if s.first.IsZero() {
		s.first, s.updated = now, now
	}
	passed := min(maxUnheard, now.Sub(s.updated))
	s.updated = now
	if now.Sub(since) < inheritTime {
		s.inherited = max(s.inherited, float64(report.Known))
	}
	part := passed.Seconds() / spentPeriod.Seconds()
	s.samples = append(s.samples, sample{now, float64(report.Asked) * part, float64(report.Again) * part})
	for len(s.samples) > 0 && now.Sub(s.samples[0].at) >= window {
		s.samples = s.samples[1:]
	}
}

// totals returns the callers' requests and the retries of the other daemons in the window
// that ends now. When the inherited ones were sent isn't known: they leave it evenly, in its
// second half.
func (s *spent) totals(now time.Time, window time.Duration) (asked, retried float64) {
	for _, part := range s.samples {
		if now.Sub(part.at) < window {
			asked += part.asked
			retried += part.retried
		}
	}
	if left := window - now.Sub(s.first); left > 0 {
		retried += s.inherited * min(1, 2*float64(left)/float64(window))
	}
	return asked, retried
}

// reportRetries returns what this daemon reports of a budget.
func (b *Budget) reportRetries(now time.Time) gossip.Retries {
	_, others := b.others.totals(now, b.Window)
	return gossip.Retries{
		Asked: countAfter(b.requests, now.Add(-spentPeriod)), Again: countAfter(b.retries, now.Add(-spentPeriod)),
		Known: countAfter(b.retries, now.Add(-b.Window)) + int(others),
	}
}

// countAfter returns how many of the times, which are sorted, are after a given one.
func countAfter(times []time.Time, after time.Time) (n int) {
	for n < len(times) && times[len(times)-1-n].After(after) {
		n++
	}
	return n
}

// Total is what all daemons together sent within a budget's window, as far as one of them
// knows.
type Total struct {
	Requests, Retries float64
	Limit             float64 // of retries
}

// total returns what all daemons sent.
func (b *Budget) total(now time.Time) Total {
	asked, retried := b.others.totals(now, b.Window)
	asked += float64(len(b.requests))
	return Total{Requests: asked, Retries: retried + float64(len(b.retries)), Limit: b.Ratio*asked + b.AllExtra}
}

// hasShare reports whether this daemon may send a retry as far as all daemons together
// spent the budget: within the time until it hears of the others' retries, it sends at most
// its share, by requests, of what they all have left.
func (b *Budget) hasShare(all Total, now time.Time) bool {
	if b.Shares <= 1 {
		return true
	}
	share := float64(len(b.requests)+1) / (all.Requests + float64(b.Shares))
	recent := float64(countAfter(b.retries, now.Add(-b.News)))
	return recent+1 <= share*(all.Limit-all.Retries+recent)
}
