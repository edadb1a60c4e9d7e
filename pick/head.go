package pick

import (
	"time"

	"clementinehead.example/chead/site"
)

// head is what this daemon knows of one endpoint by its own requests.
type head struct {
	id       string
	own      int       // requests of this daemon in progress
	streams  int       // of these, streams that have begun
	progress time.Time // an answer or an event came, or the first request began
	gap      float64   // seconds between events of a stream, smoothed
	fails    float64   // share of requests that failed, smoothed
	failedAt time.Time
	stuckTil time.Time // what others reported stuck is passed over until then
	suspect  time.Time // what this daemon did not reach is passed over until then
	begun    time.Time // the last request of this daemon began
	cold     bool      // it was cold when it was last looked at
	coldFrom time.Time // while cold it gets nothing of this daemon before
	others   int       // requests of the other daemons
	unread   int       // prompt tokens of this daemon's requests that have not begun
	foreign  int       // the same of the other daemons
}

const (
	gapWeight   = 0.05 // of the newest gap
	failWeight  = 0.15 // of the newest ending
	failMemory  = 3 * time.Second
	stuckAfter  = 450 * time.Millisecond // without any progress, once events came
	stuckFirst  = 700 * time.Millisecond // the same before the first one
	stuckPause  = 1500 * time.Millisecond
	expectedGap = 1.6 // a gap is as expected up to this factor
)

// idle reports whether requests are in progress and none makes progress.
func (h *head) idle(now time.Time) bool {
	limit := stuckFirst
	if h.streams > 0 {
		limit = stuckAfter
	}
	return h.own > 0 && now.Sub(h.progress) > limit
}

func (h *head) stuck(now time.Time) bool { return h.ownStuck(now) || h.told(now) }

// told reports what the others saw.
func (h *head) told(now time.Time) bool { return now.Before(h.stuckTil) }

// ownStuck reports what this daemon itself saw, which it tells the others.
func (h *head) ownStuck(now time.Time) bool { return h.idle(now) || now.Before(h.suspect) }

func (h *head) begin(now time.Time) {
	if h.own == 0 {
		h.progress = now
	}
	h.own++
	h.begun = now
}

func (h *head) event(now time.Time, gap time.Duration) {
	h.progress = now
	if gap <= 0 {
		return
	}
	if h.gap == 0 {
		h.gap = gap.Seconds()
		return
	}
	h.gap += gapWeight * (gap.Seconds() - h.gap)
}

func (h *head) end(now time.Time, failed bool) {
	h.own--
	newest := 0.0
	if failed {
		newest = 1
		h.failedAt = now
	} else {
		h.progress = now
	}
	h.fails += failWeight * (newest - h.fails)
}

// failing returns the share of failed requests, which is forgotten in a while,
// so that the endpoint is tried again.
func (h *head) failing(now time.Time) float64 {
	if now.Sub(h.failedAt) > failMemory {
		return 0
	}
	return h.fails
}

// slow returns how many times slower its streams are than they should be.
func (h *head) slow(e site.Engine, model site.Model, load int) float64 {
	if h.gap == 0 {
		return 1
	}
	step := e.Step + time.Duration(load)*e.PerSeq
	usual := step.Seconds() * float64(e.Stride) * model.Pace * expectedGap
	if usual <= 0 {
		return 1
	}
	return max(1, h.gap/usual)
}

// read returns how long the prompts that wait, and one more, take to be read.
func (h *head) read(e site.Engine, model site.Model, prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	tokens := float64(h.unread + h.foreign + prompt)
	return time.Duration(tokens / e.ReadRate * model.Pace * float64(time.Second))
}

// frozen reports whether a cold endpoint has had this daemon's share of its
// rate: one request each interval. The daemons begin apart, each at a part draw
// of its first interval, since they all learn at once that an endpoint is back.
func (h *head) frozen(now time.Time, cold bool, interval time.Duration, draw func() float64) bool {
	if cold && !h.cold {
		h.coldFrom = now.Add(time.Duration(draw() * float64(interval)))
	}
	h.cold = cold
	return cold && (now.Before(h.coldFrom) || now.Before(h.begun.Add(interval)))
}
