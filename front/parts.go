package front

import (
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/gossip"
)

const (
	partCrashes    = 4                     // crashes of endpoints from which a part may be refused, over all daemons
	partRequests   = 2                     // least number of requests with the part among these
	partMemory     = 60 * time.Second      // a crash counts for this long
	survivalMemory = 10 * time.Second      // a part with which a request survived so recently is not refused
	suspicionTime  = time.Second           // for which a part must be due to be refused before it is, so that survivals at other daemons are known
	survivalTime   = time.Second           // a request that has been answered for so long has survived, and does not explain a crash any more
	sameCrash      = 50 * time.Millisecond // crashes so close together have one cause, such as a loss of power, and count once
	refusalTime    = 10 * time.Minute      // for which a part is refused
	refusalSlack   = 30 * time.Second      // by which others may refuse a part longer than this daemon
	maxPartRecords = 4096                  // parts that are remembered
	maxPartCounts  = 64                    // parts that are reported to the other daemons
)

// Parts finds the parts of prompts that crash endpoints, whatever else a request holds, so
// that requests with such a part are refused. A part is suspected of a crash if a request
// with it had just begun to be answered, or had not, at the endpoint. It is refused if
// there were several such crashes, at all daemons together, and no request with it has
// survived lately. The first parts of prompts, and others that sound requests share,
// survive all the time. Use NewParts to make one; it is safe for concurrent use.
type Parts struct {
	log     logr.Logger
	mu      sync.Mutex
	records map[string]*partRecord // by part
}

// partRecord is what is known of one part.
type partRecord struct {
	crashes      []partCrash       // seen by this daemon, oldest first
	survivedAt   time.Time         // when a request with the part last survived at this daemon
	remote       gossip.PromptPart // sum over the other daemons
	dueSince     time.Time         // since when it is to be refused if that lasts; zero if it is not
	refusedUntil time.Time
	told         time.Time // from when on another daemon's refusal counts; some refuse it a little longer than this one
}

// partCrash is a crash that a part is suspected of.
type partCrash struct {
	at      time.Time
	request string // its ID
}

// NewParts returns a Parts that refuses nothing.
func NewParts(log logr.Logger) *Parts {
	return &Parts{log: log, records: map[string]*partRecord{}}
}

// Crash records that an endpoint crashed at a time while a request with the parts was at
// the beginning of its answer there.
func (p *Parts) Crash(parts []string, request string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		r := p.record(part)
		if n := len(r.crashes); n > 0 && at.Sub(r.crashes[n-1].at) < sameCrash {
			continue
		}
		r.crashes = append(r.crashes, partCrash{at, request})
		if len(r.crashes) > 2*partCrashes {
			r.crashes = r.crashes[1:]
		}
	}
}

// Survived records that a request with the parts was served whole, or has been answered
// for survivalTime.
func (p *Parts) Survived(parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, part := range parts {
		p.record(part).survivedAt = now
	}
}

// Refused returns the first of the parts that is refused, or an empty string.
func (p *Parts) Refused(parts []string) string {
	if len(parts) == 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, part := range parts {
		if r, known := p.records[part]; known && now.Before(r.refusedUntil) {
			return part
		}
	}
	return ""
}

// AllRefused returns the parts that are refused, and for how long from now on.
func (p *Parts) AllRefused() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	refused := map[string]time.Duration{}
	for part, r := range p.records {
		if now.Before(r.refusedUntil) {
			refused[part] = r.refusedUntil.Sub(now)
		}
	}
	return refused
}

// Counts returns what the other daemons are to know: the parts that are suspected here or
// elsewhere, and those that are refused.
func (p *Parts) Counts() map[string]gossip.PromptPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	counts := map[string]gossip.PromptPart{}
	for part, r := range p.records {
		own := gossip.PromptPart{Crashes: r.count(now), Survived: r.survived(now), Refused: int(max(0, r.refusedUntil.Sub(now)) / time.Second)}
		if own.Crashes+own.Refused+r.remote.Crashes > 0 && len(counts) < maxPartCounts {
			counts[part] = own
		}
	}
	return counts
}

// Update replaces the counts of the other daemons by the given sums, and decides which
// parts are refused.
func (p *Parts) Update(sums map[string]gossip.PromptPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for part, sum := range sums {
		p.record(part).remote = sum
	}
	for part, r := range p.records {
		if _, reported := sums[part]; !reported {
			r.remote = gossip.PromptPart{}
		}
	}
	for _, part := range p.byCrashes(now) {
		p.decide(part, p.records[part], now)
	}
	p.sweep(now)
}

// byCrashes returns the parts that are suspected or refused elsewhere, those with the most
// crashes first, and of equal ones first that with which a request survived longest ago:
// the first that is refused explains the crashes of the others. The lock must be held.
func (p *Parts) byCrashes(now time.Time) []string {
	var parts []string
	for part, r := range p.records {
		if r.count(now)+r.remote.Crashes+r.remote.Refused > 0 {
			parts = append(parts, part)
		}
	}
	sort.Slice(parts, func(i, j int) bool {
		a, b := p.records[parts[i]], p.records[parts[j]]
		if n, m := a.count(now)+a.remote.Crashes, b.count(now)+b.remote.Crashes; n != m {
			return n > m
		}
		return a.survivedAt.Before(b.survivedAt)
	})
	return parts
}

// decide decides whether a part is refused. The lock must be held.
func (p *Parts) decide(part string, r *partRecord, now time.Time) {
	if now.Before(r.refusedUntil) {
		return
	}
	if r.remote.Refused > 0 && !now.Before(r.told) {
		p.refuse(part, r, now, time.Duration(r.remote.Refused)*time.Second)
		return
	}
	if !r.due(now) {
		r.dueSince = time.Time{}
		return
	}
	if r.dueSince.IsZero() {
		r.dueSince = now
		p.log.Info("part suspected", "parts", part, "crashes", r.count(now)+r.remote.Crashes)
	}
	if now.Sub(r.dueSince) < suspicionTime {
		return
	}
	p.refuse(part, r, now, refusalTime)
}

// refuse refuses a part for a time. Other parts that are not refused are no longer
// suspected of the crashes so far: the one that is refused explains them. The lock must
// be held.
func (p *Parts) refuse(part string, r *partRecord, now time.Time, d time.Duration) {
	p.log.Info("part refused", "parts", part, "crashes", r.count(now), "others", r.remote.Crashes, "for_ms", d.Milliseconds())
	r.refusedUntil = now.Add(min(d, refusalTime))
	r.told = r.refusedUntil.Add(refusalSlack)
	for _, other := range p.records {
		if !now.Before(other.refusedUntil) {
			other.crashes = nil
			other.dueSince = time.Time{}
		}
	}
	r.crashes = nil
	r.dueSince = time.Time{}
}

// record returns the record of a part, which it makes on first use. The lock must be held.
func (p *Parts) record(part string) *partRecord {
	r, known := p.records[part]
	if !known {
		r = &partRecord{}
		p.records[part] = r
	}
	return r
}

// sweep removes the records that hold nothing any more and, of too many, any that are not
// suspected. The lock must be held.
func (p *Parts) sweep(now time.Time) {
	for part, r := range p.records {
		if r.remote.Crashes > 0 || r.count(now) > 0 || now.Before(r.told) {
			continue
		}
		if r.survived(now) == 0 || len(p.records) > maxPartRecords {
			delete(p.records, part)
		}
	}
}

// count returns the crashes that the part is suspected of at this daemon.
func (r *partRecord) count(now time.Time) int {
	for len(r.crashes) > 0 && now.Sub(r.crashes[0].at) > partMemory {
		r.crashes = r.crashes[1:]
	}
	return len(r.crashes)
}

// survived returns 1 if a request with the part survived lately at this daemon.
func (r *partRecord) survived(now time.Time) int {
	if !r.survivedAt.IsZero() && now.Sub(r.survivedAt) < survivalMemory {
		return 1
	}
	return 0
}

// due reports whether the part is to be refused, as far as is known.
func (r *partRecord) due(now time.Time) bool {
	if r.survived(now)+r.remote.Survived > 0 || r.count(now)+r.remote.Crashes < partCrashes {
		return false
	}
	return r.remote.Crashes > 0 || r.requests() >= partRequests
}

// requests returns the number of requests among the crashes.
func (r *partRecord) requests() int {
	different := map[string]bool{}
	for _, c := range r.crashes {
		different[c.request] = true
	}
	return len(different)
}
