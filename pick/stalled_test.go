package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A daemon whose endpoints all fall silent at once tells the others of none: the path to
// them may be cut. One that is silent while another one goes on is told of.
func TestSilenceOfAllEndpointsIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a", "b", "c")
		slots := map[string]*Slot{}
		for len(slots) < 3 {
			slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Millisecond, Avoid: held(slots)})
			is.NoErr(err)
			slot.Progress(true)
			slots[slot.Endpoint.ID] = slot
		}
		stalled := func() (ids int) {
			for _, load := range p.Report().Endpoints {
				if load.Stalled {
					ids++
				}
			}
			return ids
		}
		time.Sleep(stallTimeout + time.Millisecond)
		is.Equal(stalled(), 0)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			slots["a"].Progress(true)
		}
		is.Equal(stalled(), 2)
		slots["b"].Suspect() // can't be reached
		is.Equal(stalled(), 2)
		p.options.Reached = func() bool { return false }
		is.Equal(stalled(), 0)
	})
}

// held returns the endpoints of slots as those to avoid.
func held(slots map[string]*Slot) map[string]bool {
	avoid := map[string]bool{}
	for id := range slots {
		avoid[id] = true
	}
	return avoid
}

// A daemon that runs late has not read what came meanwhile: endpoints whose events wait to be
// read are not stalled, nor are their requests silent for too long.
func TestLateDaemonFindsEndpointsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		late := time.Duration(0)
		p.options.Late = func(time.Duration) time.Duration { return late }
		slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Millisecond})
		is.NoErr(err)
		slot.Progress(true)
		time.Sleep(minPatience + stallTimeout)
		is.True(slot.Stalled() && slot.Patience() <= minPatience+stallTimeout)
		late = minPatience + 50*time.Millisecond
		is.True(!slot.Stalled())
		is.True(slot.Patience() > minPatience+stallTimeout)
		is.True(!p.Report().Endpoints["a"].Stalled)
		time.Sleep(100 * time.Millisecond)
		is.True(slot.Stalled()) // silent for longer than the lateness explains
	})
}

// All endpoints fall silent while requests go on to idle ones, which are not silent yet: in a
// large fleet there is always one. Nothing makes progress all the same.
func TestSilenceWhileRequestsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ids := make([]string, 40)
		for i := range ids {
			ids[i] = string(rune('a'+i/10)) + string(rune('0'+i%10))
		}
		p := newFixture(ids...)
		acquire := func() *Slot {
			slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Millisecond})
			is.NoErr(err)
			return slot
		}
		acquire().Progress(true)
		_, all := p.Silence()
		is.True(!all)
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			acquire()
		}
		silent, all := p.Silence()
		is.True(silent >= 2 && all)
		acquire().Progress(true)
		_, all = p.Silence()
		is.True(!all)
	})
}
