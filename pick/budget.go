package pick

import "time"

// Budget bounds what a daemon sends beyond the first send of each request to
// one service, over a sliding window. The zero value allows nothing.
type Budget struct {
	Ratio  float64 // further sends for each request
	Extra  float64 // further sends in a window beside
	Window time.Duration
	Since  time.Time // from which it is kept: what was spent before is not known

	asked []time.Time
	spent []time.Time
}

// Ask counts a request.
func (b *Budget) Ask(now time.Time) { b.asked = append(trim(b.asked, now.Add(-b.Window)), now) }

// Spending is what came of asking for a further send.
type Spending struct {
	OK      bool
	Spent   int     // further sends in the window before
	Allowed float64 // the most in the window
}

// Spend allows a further send and counts it, or refuses it.
func (b *Budget) Spend(now time.Time) Spending {
	b.asked = trim(b.asked, now.Add(-b.Window))
	b.spent = trim(b.spent, now.Add(-b.Window))
	extra := b.Extra * min(1, float64(now.Sub(b.Since))/float64(b.Window))
	s := Spending{Spent: len(b.spent), Allowed: b.Ratio*float64(len(b.asked)) + extra}
	s.OK = float64(s.Spent+1) <= s.Allowed
	if s.OK {
		b.spent = append(b.spent, now)
	}
	return s
}

func trim(times []time.Time, after time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(after) {
		i++
	}
	return append(times[:0], times[i:]...)
}
