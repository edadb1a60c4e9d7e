package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/soak"
)

const (
	cutNotice   = 3 * time.Second // from the start of a cut until it counts how many are served
	cutDuration = 8 * time.Second
	cutPause    = 25 * time.Millisecond // between two requests
)

// tries counts the first tries of callers at some daemons.
type tries struct{ served, all int }

// cutLoad sends streams and plain calls to all daemons in turn, and counts those that are
// sent while counting is set, for daemons that are cut off and others.
type cutLoad struct {
	cluster  *cluster
	cut      map[int]bool
	mu       sync.Mutex
	counting bool
	tries    map[bool]tries // by whether the daemon is cut off
	plain    map[string]int // status of the plain calls that may not run twice, by request
	streams  bool           // only streams are sent
}

// run sends requests until stop is closed, and waits for all answers.
func (l *cutLoad) run(stop chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(cutPause):
		}
		calls.Go(func() { l.call(n) })
	}
}

// call sends one request.
func (l *cutLoad) call(n int) {
	daemon := n % len(l.cluster.daemons)
	l.mu.Lock()
	counted := l.counting
	l.mu.Unlock()
	id := fmt.Sprintf("cut-%d", n)
	path, want := "/talk/", streamBody(30)
	if n%2 == 1 && !l.streams {
		path, want = "/file/", "done by p0"
	}
	status, body := l.cluster.call(l.cluster.daemons[daemon].Caller, path, id, "good-key")
	l.mu.Lock()
	defer l.mu.Unlock()
	if path == "/file/" {
		l.plain[id] = status
	}
	if !counted {
		return
	}
	got := l.tries[l.cut[daemon]]
	got.all++
	if status == http.StatusOK && body == want {
		got.served++
	}
	l.tries[l.cut[daemon]] = got
}

// Daemons that are cut off from all endpoints serve callers hardly less often than the
// others, and don't make the others serve less. What may not run twice doesn't, and what
// was refused hasn't run.
func TestCutOffDaemonServesFarLess(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	for _, c := range []struct {
		name string
		how  soak.Cut
		cut  []int
	}{
		{"the first one, connections hang", soak.Silent, []int{0}},
		{"the first one, connections are reset", soak.Reset, []int{0}},
		{"the first one, new connections are refused", soak.Refuse, []int{0}},
		{"two of three, connections hang", soak.Silent, []int{1, 2}},
		{"two of three, connections are reset", soak.Reset, []int{0, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			system := startCluster(t, &cluster{throughPaths: true}, 8, 3)
			await(t, "all daemons serve", 15*time.Second, func() bool {
				for i := range system.daemons {
					if status, _ := system.call(system.daemons[i].Caller, "/talk/", system.nextID(), "good-key"); status != http.StatusOK {
						return false
					}
				}
				return len(system.addresses(0)) == 3
			})
			load := &cutLoad{cluster: system, cut: map[int]bool{}, tries: map[bool]tries{}, plain: map[string]int{}}
			for _, daemon := range c.cut {
				load.cut[daemon] = true
			}
			stop := make(chan struct{})
			var running sync.WaitGroup
			running.Go(func() { load.run(stop) })
			time.Sleep(time.Second)
			for _, daemon := range c.cut {
				system.cut(daemon, c.how)
			}
			time.Sleep(cutNotice)
			for i := range system.daemons {
				is.Equal(len(system.addresses(i)), 3-len(c.cut)) // new callers are sent to the others
			}
			load.count(true)
			time.Sleep(cutDuration - cutNotice)
			load.count(false)
			for _, daemon := range c.cut {
				system.cut(daemon, soak.Pass)
			}
			close(stop)
			running.Wait()
			cut, others := load.tries[true], load.tries[false]
			t.Logf("served: %d of %d at cut daemons, %d of %d at the others", cut.served, cut.all, others.served, others.all)
			is.True(3*cut.served*others.all >= 2*others.served*cut.all)
			is.True(10*others.served >= 9*others.all)
			runs := system.runners["p0"].Runs()
			for id, status := range load.plain {
				is.True(runs[id] <= 1)                                            // at most once
				is.True(status != http.StatusServiceUnavailable || runs[id] == 0) // refused, so it hasn't run
			}
			await(t, "all daemons serve again", 5*time.Second, func() bool {
				for i := range system.daemons {
					if status, _ := system.call(system.daemons[i].Caller, "/talk/", system.nextID(), "good-key"); status != http.StatusOK {
						return false
					}
				}
				return true
			})
		})
	}
}

// count sets whether requests that are sent from now on are counted.
func (l *cutLoad) count(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counting = on
}
