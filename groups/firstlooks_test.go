package groups

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
)

// A keeper that has just taken office must not end groups since its first requests were not
// answered: endpoints that are slow to accept its connections aren't silent (issue 32: each
// new keeper ended the groups that the one before it had). Those that stay silent are.
func TestNewKeeperEndsGroupsOnItsFirstLooks(t *testing.T) {
	for _, c := range []struct {
		name   string
		office time.Duration // before the endpoints fall silent
		silent time.Duration // from when on they count as such, about
	}{
		{"just in office", 0, silenceTime},
		{"in office for a second", time.Second, silenceTime},
		{"long in office", firstLooks, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				k := newKeeper()
				k.options.Boot = func() time.Duration { return time.Minute + time.Since(start) }
				k.term, k.termAt = 1, k.options.Boot()
				time.Sleep(c.office)
				k.options.Engines = &platform.Engines{Do: func(r *http.Request) (*http.Response, error) {
					<-r.Context().Done()
					return nil, r.Context().Err()
				}}
				stored, ids := manyEndpoints(2)
				began, counted := time.Now(), time.Duration(-1)
				for counted < 0 && time.Since(began) < 4*time.Second {
					k.poll(t.Context(), stored, ids)
					time.Sleep(tick)
					if k.snapshot(stored, stored.Config.Services["s"]).Endpoints[ids[0]].Silent {
						counted = time.Since(began)
					}
				}
				is.True(counted >= c.silent)
				is.True(counted <= c.silent+reportTimeout+2*tick)
			})
		})
	}
}
