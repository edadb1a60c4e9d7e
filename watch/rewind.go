package watch

import (
	"math"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

const (
	// domainGrace is how long a failure domain that the store's copy lacks stays out of
	// service after operators have begun to write again. They write it again by then.
	domainGrace = 3 * time.Second
	// untilWritten is the end of that time while operators have not begun.
	untilWritten = time.Duration(math.MaxInt64)
	// departureMemory is how long endpoints that have left are remembered. Copies
	// of the store are some seconds old.
	departureMemory = 60 * time.Second
)

// rewind guards a snapshot against the older copy from which the store came back.
// What the copy says of an endpoint is not believed against what is already known,
// until the endpoint has written its entry again.
type rewind struct {
	copyRevision int64                // entries up to this revision are from the copy; 0 in the first era
	departed     map[string]departure // endpoints that have left, by id
}

// departure is an endpoint's end, as the store reported it.
type departure struct {
	started int64         // as site.State.Started
	at      time.Duration // boot clock
}

// recordDeparture remembers an endpoint that has left. It drops those that left
// longer than departureMemory ago.
func (r *rewind) recordDeparture(e site.Endpoint, now time.Duration) {
	for id, d := range r.departed {
		if now-d.at > departureMemory {
			delete(r.departed, id)
		}
	}
	r.departed[e.ID] = departure{started: e.State.Started, at: now}
}

// revives reports whether an entry of the copy is that of an endpoint which has left
// since.
func (r *rewind) revives(e site.Endpoint, revision int64) bool {
	d, departed := r.departed[e.ID]
	return departed && d.started == e.State.Started && revision <= r.copyRevision
}

// reverts reports whether an entry of the copy says that an endpoint is ready which
// has begun to drain since.
func (r *rewind) reverts(known, e site.Endpoint, revision int64) bool {
	return known.Draining && !e.Draining && known.State.Started == e.State.Started && revision <= r.copyRevision
}

// beginEra prepares a snapshot for the listing of a new era. The revisions of the old
// one are forgotten. Entries that the copy lacks count as lapsed, since endpoints
// write them again, and failure domains stay out of service until operators have had
// domainGrace to write them again.
func (w *Watcher) beginEra(s *Snapshot, listing platform.Listing) {
	now := w.options.Boot()
	w.options.Log.Info("store came back from an older copy", "era", listing.Era, "before", s.Era,
		"revision", listing.Revision, "held", s.Revision, "version", s.ConfigVersion())
	s.Era = listing.Era
	s.Revision = 0
	s.Keeper.Revision = 0
	s.Unused = false
	s.ConfigAt, s.Moved = 0, false
	s.EraRevision = listing.Revision
	w.rewind.copyRevision = listing.Revision
	w.outageAt.Store(int64(now))
	w.rewoundAt.Store(int64(now))
	for key := range w.revisions {
		w.revisions[key] = 0
	}
	for domain := range s.OutOfService {
		s.KeptOut[domain] = untilWritten
	}
}

// limitKept sets the time until which failure domains are kept out of service, once
// operators have begun to write again what the store lost.
func (s *Snapshot) limitKept(now time.Duration) {
	if !s.operatorsWrote() {
		return
	}
	for domain, until := range s.KeptOut {
		if until == untilWritten {
			s.KeptOut[domain] = now + domainGrace
		}
	}
}

// operatorsWrote reports whether operators are known to have written the configuration in
// this era.
func (s *Snapshot) operatorsWrote() bool {
	return s.Rewritten() || s.WrittenSinceRecord() || s.MovedInUnusedCopy() || s.Settled.Era == s.Era
}

// ConfigVersion returns the version of the configuration, 0 if there is none.
func (s *Snapshot) ConfigVersion() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}
