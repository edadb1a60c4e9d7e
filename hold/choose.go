package hold

import "time"

// minWatch is how long a reader is watched before its pace is judged.
const minWatch = time.Second

// reader is what is known of one request's caller as a reader. It is slow while bytes wait
// for it, and sound otherwise.
type reader struct {
	held     int64     // bytes held for the request
	waiting  int64     // those of its response that wait for the caller
	moved    int64     // bytes that it took since then
	slow     time.Time // since when there are any, the zero time while there are none
	deadline time.Time
	left     bool
	ended    bool // told to end
}

// pace returns the bytes a second that a slow reader takes.
func (r *reader) pace(now time.Time) float64 {
	return float64(r.moved) / max(now.Sub(r.slow), time.Millisecond).Seconds()
}

// progress returns how much a slow reader takes a second for each byte held.
func (r *reader) progress(now time.Time) float64 {
	return r.pace(now) / float64(max(1, r.held))
}

// judge returns why a reader may have to give way, or None. A sound one never has to. A slow
// one that takes what waits for it before its deadline gives way to answers alone, and none
// does by its pace before it was watched.
func (r *reader) judge(now time.Time, asking Kind) Reason {
	switch {
	case r.slow.IsZero() || r.ended:
		return None
	case r.left:
		return Left
	case !now.Before(r.deadline):
		return Expired
	case now.Sub(r.slow) < minWatch:
		return None
	case r.pace(now)*r.deadline.Sub(now).Seconds() < float64(r.waiting):
		return Late
	case asking == Answer:
		return Least
	}
	return None
}

// class orders the reasons: callers that get nothing any more go first.
func (r Reason) class() int {
	switch r {
	case Left, Expired:
		return 0
	case Late:
		return 1
	}
	return 2
}

// choose returns the reader that gives way to what asks for room, and why, or nil. Among
// those of a class it is the slowest, of the first class by bytes, of the others for its size.
func choose(readers map[*Share]struct{}, now time.Time, asking Kind) (*Share, Reason) {
	var chosen *Share
	because := None
	for s := range readers {
		reason := s.judge(now, asking)
		if reason != None && (chosen == nil || before(&s.reader, reason, &chosen.reader, because, now)) {
			chosen, because = s, reason
		}
	}
	return chosen, because
}

// before reports whether reader a gives way before reader b.
func before(a *reader, why Reason, b *reader, than Reason, now time.Time) bool {
	switch {
	case why.class() != than.class():
		return why.class() < than.class()
	case why.class() == 0:
		return a.pace(now) < b.pace(now)
	}
	return a.progress(now) < b.progress(now)
}
