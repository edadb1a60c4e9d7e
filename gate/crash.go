package gate

import (
	"slices"

	"clementinehead.example/chead/wire"
)

// CrashRecord holds, by the requests' fingerprints, the crashes of endpoints at
// which a request was in progress. It holds at most maxSuspects requests,
// rejected ones included, and drops the oldest first. A rejected request that
// was dropped is accepted again. A crash is named by its replica and the boot
// that it ended, see crashName. It is not safe for concurrent use.
type CrashRecord struct {
	crashes map[uint64][]string   // names of crashes by fingerprint
	order   []uint64              // fingerprints, oldest first
	unsent  []*wire.StrikeRequest // reports not sent to the peers yet
}

const (
	maxCrashes  = 2    // recorded crashes at which a request is rejected
	maxSuspects = 4096 // requests with recorded crashes
)

// NewCrashRecord returns an empty CrashRecord.
func NewCrashRecord() *CrashRecord { return &CrashRecord{crashes: map[uint64][]string{}} }

// Add records that a request was in progress at crashes, and reports whether
// one of them was not recorded yet. A fingerprint of 0 means that there is none
// and is not recorded.
func (r *CrashRecord) Add(fingerprint uint64, crashes ...string) bool {
	if fingerprint == 0 {
		return false
	}
	var added bool
	for _, crash := range crashes {
		added = r.add(fingerprint, crash) || added
	}
	return added
}

// AddLocal is Add for a crash that this daemon observed itself. It also queues
// a report to the peers.
func (r *CrashRecord) AddLocal(fingerprint uint64, crash string) {
	if !r.Add(fingerprint, crash) {
		return
	}
	r.unsent = append(r.unsent, &wire.StrikeRequest{
		Fingerprint: fingerprint,
		Strikes:     uint32(len(r.crashes[fingerprint])),
		Crash:       crash,
	})
}

// RemoveLocal removes the record of a suspect that was answered completely, so
// that two unrelated crashes don't get the request rejected, and queues a report
// to the peers. The record of a rejected request stays.
func (r *CrashRecord) RemoveLocal(fingerprint uint64) {
	if r.Remove(fingerprint) {
		r.unsent = append(r.unsent, &wire.StrikeRequest{Fingerprint: fingerprint})
	}
}

// Remove is RemoveLocal without a report, for what a peer reported. It returns
// whether there was anything to remove.
func (r *CrashRecord) Remove(fingerprint uint64) bool {
	if !r.Suspect(fingerprint) || r.Rejected(fingerprint) {
		return false
	}
	delete(r.crashes, fingerprint)
	r.order = slices.DeleteFunc(r.order, func(known uint64) bool { return known == fingerprint })
	return true
}

// Apply processes a report of a peer: a crash, or a removal if Strikes, the
// number of recorded crashes, is 0.
func (r *CrashRecord) Apply(report *wire.StrikeRequest) {
	if report.Strikes == 0 {
		r.Remove(report.Fingerprint)
		return
	}
	r.Add(report.Fingerprint, report.Crash)
}

// TakeUnsent returns the reports that were not sent to the peers yet, and
// clears them.
func (r *CrashRecord) TakeUnsent() []*wire.StrikeRequest {
	reports := r.unsent
	r.unsent = nil
	return reports
}

// add records one crash and reports whether it was not recorded yet. A rejected
// request gets no more crashes.
func (r *CrashRecord) add(fingerprint uint64, crash string) bool {
	known, ok := r.crashes[fingerprint]
	if crash == "" || len(known) >= maxCrashes || slices.Contains(known, crash) {
		return false
	}
	if !ok {
		r.dropOldest()
		r.order = append(r.order, fingerprint)
	}
	r.crashes[fingerprint] = append(known, crash)
	return true
}

// dropOldest drops the oldest fingerprint if maxSuspects are held.
func (r *CrashRecord) dropOldest() {
	if len(r.order) < maxSuspects {
		return
	}
	delete(r.crashes, r.order[0])
	r.order = r.order[1:]
}

// Crashes returns the names of the crashes at which a request was in progress.
func (r *CrashRecord) Crashes(fingerprint uint64) []string { return r.crashes[fingerprint] }

// Suspect reports whether a request was in progress at a recorded crash. Unless
// it is rejected, it then has to run with no other request in progress.
func (r *CrashRecord) Suspect(fingerprint uint64) bool { return len(r.crashes[fingerprint]) > 0 }

// Rejected reports whether a request was in progress at maxCrashes recorded
// crashes and must not run again while they are recorded.
func (r *CrashRecord) Rejected(fingerprint uint64) bool {
	return len(r.crashes[fingerprint]) >= maxCrashes
}
