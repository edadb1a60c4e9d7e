package pick

import "time"

// meter measures the rate of events. The zero value is ready to use.
type meter struct {
	count       int
	windowStart time.Time
	smoothed    float64 // mean events per second, exponentially smoothed
}

const (
	meterWindow = 500 * time.Millisecond // least time over which events are counted before they enter the mean
	meterWeight = 0.4                    // weight of the newest window
)

// add counts one event.
func (m *meter) add(now time.Time) {
	m.roll(now)
	m.count++
}

// rate returns the events per second.
func (m *meter) rate(now time.Time) float64 {
	m.roll(now)
	return m.smoothed
}

// roll adds the rate of the present window to the smoothed rate if the window is
// over, and begins a new one.
func (m *meter) roll(now time.Time) {
	if m.windowStart.IsZero() {
		m.windowStart = now
		return
	}
	passed := now.Sub(m.windowStart)
	if passed < meterWindow {
		return
	}
	newest := float64(m.count) / passed.Seconds()
	if m.smoothed == 0 {
		m.smoothed = newest
	} else {
		m.smoothed += meterWeight * (newest - m.smoothed)
	}
	m.count = 0
	m.windowStart = now
}
