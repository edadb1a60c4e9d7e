package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
)

// Nine daemons share the endpoints of a model: places come free ten times a
// second, but only about one of them by a request of this daemon. A request that
// found nobody waiting was refused, since its daemon alone would have freed no
// place within its aim (quiet-1 of pgoi at 34 s: ahead 0, 1.2 places a second).
func TestPlacesOfAllDaemonsCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		others gossip.Line
		waits  bool
	}{
		{"alone", gossip.Line{}, false},
		{"others free places", gossip.Line{Freed: 9, Came: 8}, true},
		{"others wait for them", gossip.Line{Freed: 9, Came: 8, Soon: 9}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := labDesk("a")
			ask := Ask{Service: "s", Model: "m", Aim: 400 * time.Millisecond, Limit: time.Second}
			for range 4 { // about one place a second comes free here
				place, err := d.Acquire(t.Context(), ask)
				is.NoErr(err)
				time.Sleep(time.Second)
				place.Done(false)
			}
			first, err := d.Acquire(t.Context(), ask)
			is.NoErr(err)
			second, err := d.Acquire(t.Context(), ask)
			is.NoErr(err) // one may wait at the endpoint
			d.Update([]gossip.Message{{Lines: map[string]gossip.Line{ask.key(): c.others}}}, nil)
			go func() {
				time.Sleep(100 * time.Millisecond)
				first.Done(false)
			}()
			third, err := d.Acquire(t.Context(), ask)
			is.Equal(err == nil, c.waits)
			if err == nil {
				third.Done(false)
			}
			second.Done(false)
			synctest.Wait()
			time.Sleep(time.Second)
		})
	}
}
