package gate

import (
	"cmp"
	"slices"
	"time"
)

// permit is a permit in use, or a request in progress whose permit was lost.
type permit struct {
	id          uint64
	daemon      string
	boot        uint64 // of the daemon
	request     string
	account     string
	fingerprint uint64
	granted     time.Time
	crash       string // name of the crash that the endpoint's end would be
	alone       bool
	tokens      uint32
	lost        bool // nobody will release it
	nameless    bool // left by a gate that crashed; its id means nothing
}

// ledger counts the requests that may be in progress at the endpoint. What it
// counts is never less than what the endpoint runs:
//
// Permits are counted until they are released. Those that nobody will release
// are kept as lost. A report shows everything that was dispatched before it
// was taken, so among those old enough to stand in a report the lost ones are
// at most the reported load less the others; the surplus is dropped.
// Conversely, when reports show fewer than the old permits through a whole
// window, releases went missing, and the smallest difference is left out of
// the count. Whatever happens a permit ends with the longest life of a request.
type ledger struct {
	held     map[uint64]*permit
	accounts map[string]int // in use by client account
	alone    int
	lost     int
	missing  []missing // by time
	foreign  []uint64  // releases of permits of the gate before, as a ring
	next     int
}

// missing is the number of releases that one report shows to be missing.
type missing struct {
	at    time.Time
	count int
}

const maxForeign = 1024 // releases of unknown permits that are remembered

func newLedger() ledger {
	return ledger{held: map[uint64]*permit{}, accounts: map[string]int{}}
}

// inUse returns how many requests may be in progress.
func (l *ledger) inUse() int { return len(l.held) - l.absent() }

// absent returns the releases known to be missing.
func (l *ledger) absent() int {
	if len(l.missing) < 2 {
		return 0
	}
	if l.missing[len(l.missing)-1].at.Sub(l.missing[0].at) < reconcileWindow {
		return 0
	}
	count := l.missing[0].count
	for _, m := range l.missing {
		count = min(count, m.count)
	}
	return min(count, len(l.held))
}

func (l *ledger) add(p *permit) {
	l.held[p.id] = p
	l.accounts[p.account]++
	if p.alone {
		l.alone++
	}
	if p.lost {
		l.lost++
	}
}

func (l *ledger) remove(p *permit) {
	delete(l.held, p.id)
	l.accounts[p.account]--
	if l.accounts[p.account] == 0 {
		delete(l.accounts, p.account)
	}
	if p.alone {
		l.alone--
	}
	if p.lost {
		l.lost--
	}
	for i := range l.missing {
		l.missing[i].count = max(0, l.missing[i].count-1)
	}
}

// lose marks a permit as one that nobody will release.
func (l *ledger) lose(p *permit) {
	if p.lost {
		return
	}
	p.lost = true
	l.lost++
}

// loseAll marks every permit as lost.
func (l *ledger) loseAll() {
	for _, p := range l.held {
		l.lose(p)
	}
}

// report sets the count against the load of a report that came at now.
func (l *ledger) report(now time.Time, load int) {
	cutoff := now.Add(-PermitLife - ReportLag)
	var old int
	var lost []*permit
	for _, p := range l.held {
		if p.granted.After(cutoff) {
			continue
		}
		if p.lost {
			lost = append(lost, p)
		} else {
			old++
		}
	}
	l.note(now, old-load)
	surplus := len(lost) - max(0, load-old)
	if surplus <= 0 {
		return
	}
	slices.SortFunc(lost, byAge)
	for _, p := range lost[:surplus] {
		l.remove(p)
	}
}

// note keeps what one report says of missing releases.
func (l *ledger) note(now time.Time, count int) {
	l.missing = append(l.missing, missing{at: now, count: max(0, count)})
	for len(l.missing) > 2 && now.Sub(l.missing[1].at) >= reconcileWindow {
		l.missing = l.missing[1:]
	}
}

// expire drops what was granted longer ago than any request may last.
func (l *ledger) expire(now time.Time, life time.Duration) int {
	var count int
	for _, p := range l.held {
		if now.Sub(p.granted) < life {
			continue
		}
		l.remove(p)
		count++
	}
	return count
}

// settle drops one request of the gate before, whose release came. It returns
// false when the same release came already or none is left.
func (l *ledger) settle(id uint64) bool {
	if slices.Contains(l.foreign, id) {
		return false
	}
	var oldest *permit
	for _, p := range l.held {
		if p.nameless && (oldest == nil || byAge(p, oldest) < 0) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	l.remember(id)
	l.remove(oldest)
	return true
}

func (l *ledger) remember(id uint64) {
	if len(l.foreign) < maxForeign {
		l.foreign = append(l.foreign, id)
		return
	}
	l.foreign[l.next] = id
	l.next = (l.next + 1) % maxForeign
}

func byAge(a, b *permit) int {
	return cmp.Or(a.granted.Compare(b.granted), cmp.Compare(a.id, b.id))
}
