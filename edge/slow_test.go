package edge

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/reach"
	"clementinehead.example/chead/soak"
)

// acceptPeriod is the time after which endpoints accept the connections that wait.
const acceptPeriod = 900 * time.Millisecond

// Two of three daemons are cut off while all endpoints accept connections slowly. The third
// one, which carries everything, must not take that for a cut as well (issue 32).
func TestLastDaemonTakesSlowEndpointsForACut(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	for _, c := range []struct {
		name string
		how  soak.Cut
	}{
		{"connections hang", soak.Silent},
		{"new connections are refused", soak.Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			system := startCluster(t, &cluster{throughPaths: true}, 16, 3)
			await(t, "all daemons serve", 15*time.Second, func() bool {
				for i := range system.daemons {
					if status, _ := system.call(system.daemons[i].Caller, "/talk/", system.nextID(), "good-key"); status != http.StatusOK {
						return false
					}
				}
				return true
			})
			// Streams alone: for plain calls there is one endpoint, which all would wait for.
			load := &cutLoad{cluster: system, cut: map[int]bool{1: true, 2: true}, tries: map[bool]tries{}, plain: map[string]int{}, streams: true}
			stop := make(chan struct{})
			var running sync.WaitGroup
			running.Go(func() { load.run(stop) })
			time.Sleep(time.Second)
			for _, path := range system.paths {
				path.Slow(acceptPeriod)
			}
			for daemon := range load.cut {
				system.cut(daemon, c.how)
			}
			time.Sleep(cutNotice)
			load.count(true)
			cutLooks, looks := 0, 0 // of the third daemon's state
			for end := time.Now().Add(cutDuration); time.Now().Before(end); time.Sleep(cutPause) {
				looks++
				if system.started[0].reach.State() == reach.Cut {
					cutLooks++
				}
			}
			load.count(false)
			close(stop)
			running.Wait()
			cut, others := load.tries[true], load.tries[false]
			t.Logf("served: %d of %d at cut daemons, %d of %d at the last one, which was cut off at %d of %d looks", cut.served, cut.all, others.served, others.all, cutLooks, looks)
			is.Equal(cutLooks, 0)
			is.True(10*others.served >= 9*others.all)
		})
	}
}
