package fair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	recentTime = 4 * time.Second  // time constant of the recent work of an account
	usualTime  = 40 * time.Second // time constant of its usual work
)

// Rest is the name under which the work of accounts without an entry of their own is
// reported. It is no account's.
const Rest = ""

// Usage holds the work of client accounts in recent time. Use New to make one.
type Usage struct {
	recent, usual map[string]float64 // seconds of work, as of updated
	updated       time.Duration
	began         time.Duration
	others        map[string]float64 // recent work that the other daemons report
}

// New returns a Usage that begins at a time of a steady clock.
func New(now time.Duration) *Usage {
	return &Usage{recent: map[string]float64{}, usual: map[string]float64{}, updated: now, began: now}
}

// Add adds the work of a request.
func (u *Usage) Add(now time.Duration, account string, work time.Duration) {
	u.decay(now)
	u.recent[account] += work.Seconds()
	u.usual[account] += work.Seconds()
}

// decay brings the sums to a time.
func (u *Usage) decay(now time.Duration) {
	passed := now - u.updated
	if passed <= 0 {
		return
	}
	u.updated = now
	scale(u.recent, passed, recentTime)
	scale(u.usual, passed, usualTime)
}

// least is the work in seconds below which a sum is forgotten.
const least = 1e-6

// scale lets sums decay over a time.
func scale(sums map[string]float64, passed, constant time.Duration) {
	factor := math.Exp(-passed.Seconds() / constant.Seconds())
	for account, v := range sums {
		if v *= factor; v < least {
			delete(sums, account)
		} else {
			sums[account] = v
		}
	}
}

// Report returns the recent work of this daemon's requests: of the n accounts with the most,
// each in seconds, and of all others together as Rest. It is nil if there is none.
func (u *Usage) Report(now time.Duration, n int) map[string]float64 {
	u.decay(now)
	return Trim(u.recent, n)
}

// Trim returns the n greatest sums, and the others together as Rest. It returns nil if there
// are none.
func Trim(sums map[string]float64, n int) map[string]float64 {
	if len(sums) == 0 {
		return nil
	}
	accounts := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(-cmp.Compare(sums[a], sums[b]), cmp.Compare(a, b))
	})
	kept := map[string]float64{}
	for i, account := range accounts {
		if i >= n {
			account = Rest
		}
		kept[account] += sums[accounts[i]]
	}
	return kept
}

// Hear sets the recent work that the other daemons report, by account.
func (u *Usage) Hear(others map[string]float64) { u.others = others }

// Levels returns a function that tells how far an account is above what is due to it: 0 up
// to twice as much, 1 up to four times, and so on for each doubling. Due is the even share
// of the accounts with work, or what the account usually has, if that is more. The requests
// of an account with a lower level go first.
func (u *Usage) Levels(now time.Duration) func(account string) int {
	u.decay(now)
	total, accounts := u.total()
	usual := u.usualTotal()
	return func(account string) int {
		recent := u.recent[account] + u.others[account]
		if account == Rest || accounts < 2 || recent <= 0 {
			return 0
		}
		due := total / float64(accounts)
		if usual > 0 {
			due = max(due, total*u.usualOf(account)/usual)
		}
		return max(0, int(math.Log2(recent/due)))
	}
}

// total returns the recent work of all accounts at all daemons, and the number of accounts
// that are known to have some.
func (u *Usage) total() (work float64, accounts int) {
	for account, v := range u.recent {
		work += v
		if _, named := u.others[account]; !named {
			accounts++
		}
	}
	for account, v := range u.others {
		work += v
		if account != Rest {
			accounts++
		}
	}
	return work, accounts
}

// usualOf returns what an account had before the recent time.
func (u *Usage) usualOf(account string) float64 { return u.usual[account] - u.recent[account] }

// usualTotal returns what all accounts had before the recent time, 0 until that is long
// enough to tell.
func (u *Usage) usualTotal() float64 {
	if u.updated-u.began < usualTime/4 {
		return 0
	}
	sum := 0.0
	for account := range u.usual {
		sum += u.usualOf(account)
	}
	return sum
}
