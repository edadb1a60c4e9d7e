package gate

import (
	"cmp"
	"slices"
	"time"
)

// permit is a permit in use, or a request in progress whose permit is lost.
type permit struct {
	id          uint64
	daemon      string
	boot        uint64 // of the daemon
	request     string
	account     string
	fingerprint uint64
	granted     time.Time
	crash       string // name of the crash to record if the endpoint restarts
	alone       bool   // no other request may be in progress
	tokens      uint32
	lost        bool // nobody will release it
	orphan      bool // left by a gate that crashed; the id is new, since the real one is not known
}

// ledger counts the requests that may be in progress at the leader. The count
// is never less than the number that the leader runs.
//
// A permit is counted until it is released. A permit that nobody will release
// any more is kept and marked lost. A report covers every request that was
// dispatched before the report was taken. Among the permits old enough to
// appear in a report, the lost ones still in progress are therefore at most the
// reported load less the other permits, and reconcile drops the rest.
// Conversely, when all reports in a reconcileWindow show fewer requests than
// there are old permits, releases were not received, and the smallest
// difference is subtracted from the count. In any case a permit ends at the
// maximum age of a permit.
type ledger struct {
	held          map[uint64]*permit // by permit id
	accounts      map[string]int     // permits in use by client account
	alone         int                // permits for requests that run alone
	lost          int                // lost permits
	missingCounts []missingCount     // within reconcileWindow, by time
	settled       []uint64           // ids of released permits of the previous gate, as a ring buffer
	nextSettled   int                // index at which the ring buffer is overwritten next
}

// missingCount is the number of releases that one report shows to be missing.
type missingCount struct {
	at    time.Time
	count int
}

const maxSettled = 1024 // released permits of the previous gate that are remembered

func newLedger() ledger {
	return ledger{held: map[uint64]*permit{}, accounts: map[string]int{}}
}

// inUse returns the number of requests that may be in progress.
func (l *ledger) inUse() int { return len(l.held) - l.missingReleases() }

// missingReleases returns the number of releases known to be missing: the
// smallest number in the reports, once these span reconcileWindow.
func (l *ledger) missingReleases() int {
	if len(l.missingCounts) < 2 {
		return 0
	}
	if l.missingCounts[len(l.missingCounts)-1].at.Sub(l.missingCounts[0].at) < reconcileWindow {
		return 0
	}
	count := l.missingCounts[0].count
	for _, m := range l.missingCounts {
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
	for i := range l.missingCounts {
		l.missingCounts[i].count = max(0, l.missingCounts[i].count-1)
	}
}

// markLost marks a permit as one that nobody will release.
func (l *ledger) markLost(p *permit) {
	if p.lost {
		return
	}
	p.lost = true
	l.lost++
}

// markAllLost marks every permit as lost.
func (l *ledger) markAllLost() {
	for _, p := range l.held {
		l.markLost(p)
	}
}

// reconcile compares the permits with the load of a report that arrived at now,
// and drops the lost permits whose requests must have ended.
func (l *ledger) reconcile(now time.Time, load int) {
	cutoff := now.Add(-PermitValidity - ReportLag)
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
	l.recordMissing(now, old-load)
	surplus := len(lost) - max(0, load-old)
	if surplus <= 0 {
		return
	}
	slices.SortFunc(lost, byAge)
	for _, p := range lost[:surplus] {
		l.remove(p)
	}
}

// recordMissing stores the number of missing releases that a report shows.
func (l *ledger) recordMissing(now time.Time, count int) {
	l.missingCounts = append(l.missingCounts, missingCount{at: now, count: max(0, count)})
	for len(l.missingCounts) > 2 && now.Sub(l.missingCounts[1].at) >= reconcileWindow {
		l.missingCounts = l.missingCounts[1:]
	}
}

// expire drops the permits that have reached the maximum age, and returns their
// number.
func (l *ledger) expire(now time.Time, maxAge time.Duration) int {
	var count int
	for _, p := range l.held {
		if now.Sub(p.granted) < maxAge {
			continue
		}
		l.remove(p)
		count++
	}
	return count
}

// settleOrphan drops the oldest request of the previous gate when a release for
// one arrives. It returns false if the same release arrived before or no such
// request is left.
func (l *ledger) settleOrphan(id uint64) bool {
	if slices.Contains(l.settled, id) {
		return false
	}
	var oldest *permit
	for _, p := range l.held {
		if p.orphan && (oldest == nil || byAge(p, oldest) < 0) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	l.addSettled(id)
	l.remove(oldest)
	return true
}

// addSettled stores the id of a released permit in the ring buffer.
func (l *ledger) addSettled(id uint64) {
	if len(l.settled) < maxSettled {
		l.settled = append(l.settled, id)
		return
	}
	l.settled[l.nextSettled] = id
	l.nextSettled = (l.nextSettled + 1) % maxSettled
}

// byAge orders permits by the time of granting, oldest first.
func byAge(a, b *permit) int {
	return cmp.Or(a.granted.Compare(b.granted), cmp.Compare(a.id, b.id))
}
