package pick

import "time"

// pace is a smoothed interval and its mean deviation, from which the longest interval
// to expect follows, as for the retransmission timeout of TCP (RFC 6298). The zero
// value knows none.
type pace struct {
	mean, deviation float64 // seconds
	known           bool
}

const (
	meanWeight      = 1.0 / 8 // weight of the newest interval in the mean
	deviationWeight = 1.0 / 4 // weight of the newest deviation
	deviations      = 4       // by which the longest expected interval exceeds the mean
	leastFactor     = 2       // multiple of the mean that an interval may have in any case
)

// add records an interval.
func (p *pace) add(d time.Duration) {
	v := d.Seconds()
	if !p.known {
		*p = pace{mean: v, deviation: v / 2, known: true}
		return
	}
	p.deviation += deviationWeight * (max(v-p.mean, p.mean-v) - p.deviation)
	p.mean += meanWeight * (v - p.mean)
}

// limit returns the longest interval to expect, 0 if none is known.
func (p pace) limit() time.Duration {
	return time.Duration(max(leastFactor*p.mean, p.mean+deviations*p.deviation) * float64(time.Second))
}

// paces are the paces of an endpoint, or of all endpoints of a model.
type paces struct {
	gaps   pace // intervals between events of a stream
	firsts pace // times to the first event or the answer, beyond those expected for reading the prompt
}

// usualSilence returns the time without progress beyond which the endpoint counts as
// stalled. It is longer where events are known to come slowly, here or at the model's
// other endpoints, and while a long prompt is being read. The other endpoints matter
// since sends that are broken off show nothing of an endpoint's own pace.
func (s *endpointState) usualSilence() time.Duration {
	var model paces
	if s.queue != nil {
		model = s.queue.paces
	}
	first := max(s.firsts.limit(), model.firsts.limit())
	switch {
	case s.streams > 0 && (s.gaps.known || model.gaps.known):
		return max(stallTimeout, s.gaps.limit(), model.gaps.limit())
	case s.streams > 0:
		return max(stallTimeout, first)
	case len(s.unanswered) > 0:
		return max(firstEventTimeout, first) + s.unanswered[0].ReadTime
	}
	return max(firstEventTimeout, first)
}

// progressing reports whether streams of this daemon make progress at the endpoint.
func (s *endpointState) progressing(now time.Time) bool {
	return s.streams > s.held && !s.noProgress(now)
}

// answered records that the first event or the answer of a slot's request has come.
func (s *endpointState) answered(slot *Slot, now time.Time) {
	if !s.drop(slot) {
		return
	}
	first := max(0, now.Sub(slot.acquired)-slot.ReadTime)
	s.firsts.add(first)
	slot.learnFirst(first)
	slot.queue.firsts.add(first)
}

// drop removes a slot from those whose requests wait for their first event, and reports
// whether it was among them.
func (s *endpointState) drop(slot *Slot) bool {
	for i, other := range s.unanswered {
		if other == slot {
			s.unanswered = append(s.unanswered[:i], s.unanswered[i+1:]...)
			return true
		}
	}
	return false
}
