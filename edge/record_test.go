package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
	"clementinehead.example/chead/site"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) write(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, line)
}

// count returns the number of lines with the given message.
func (b *logBuffer) count(message string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, line := range b.lines {
		if strings.Contains(line, `"msg":"`+message+`"`) {
			n++
		}
	}
	return n
}

// newStoreClients starts a simulated store and returns it with a function that returns
// clients of it.
func newStoreClients(t *testing.T) (*simul.Store, func() *platform.Store) {
	t.Helper()
	store := simul.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return store, func() *platform.Store { return platform.NewStore(server.Listener.Addr().String(), client.Do) }
}

// During an outage of the store, the log says once that the daemon's record is not
// renewed, and once that it is renewed again.
func TestFailedRenewalIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	store, newClient := newStoreClients(t)
	logs := &logBuffer{}
	r := &registration{
		instance: "d", self: site.Daemon{ID: "d"}, store: newClient(),
		log: funcr.NewJSON(logs.write, funcr.Options{}), removeTimeout: func() time.Duration { return callTimeout },
	}
	store.SetDown(true)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.run(ctx)
	}()
	await(t, "outage is logged", 3*time.Second, func() bool { return logs.count("record not renewed") == 1 })
	store.SetDown(false)
	await(t, "recovery is logged", 3*time.Second, func() bool { return logs.count("record renewed again") == 1 })
	stop()
	<-done
	is.Equal(logs.count("record not renewed"), 1) // once per outage, not per attempt
	is.Equal(logs.count("record renewed again"), 1)
}

// The retry budget is divided among all daemons that may serve: those that the store
// lists, heard by gossip or not, and those that are heard, listed or not.
func TestCountDaemonsListedOrHeard(t *testing.T) {
	is := is.New(t)
	listed := map[string]site.Daemon{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		listed[id] = site.Daemon{ID: id}
	}
	heard := []gossip.Message{{From: site.Daemon{ID: "b"}}, {From: site.Daemon{ID: "new"}}}
	is.Equal(countDaemons("a", listed, heard), 8)
	is.Equal(countDaemons("a", listed, nil), 7) // no gossip from any other daemon
	is.Equal(countDaemons("a", nil, heard), minDaemons)
}

// The store comes back from an older copy, in which the daemon's lease is missing and
// its id is given out to another daemon. The record must be written anew, and the
// other daemon's lease neither renewed nor ended.
func TestLeaseOfAnotherEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	store, newClient := newStoreClients(t)
	older := store.Copy()
	newRegistration := func(id string) *registration {
		return &registration{instance: id, self: site.Daemon{ID: id}, store: newClient(), log: logr.Discard()}
	}
	first, second := newRegistration("d1"), newRegistration("d2")
	is.NoErr(first.renew(t.Context()))
	lost := first.lease
	store.Restore(older)
	is.NoErr(second.renew(t.Context()))
	is.Equal(second.lease.ID, lost.ID) // given out again
	is.NoErr(first.renew(t.Context()))
	is.True(first.lease != lost)
	first.lease = lost
	first.remove(callTimeout)
	is.NoErr(second.renew(t.Context()))
	_, err := second.store.Get(t.Context(), platform.DaemonRecordKey("d2"))
	is.NoErr(err)
}
