package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withVersion replaces the configuration of a fixture by the same one of another version.
func (f *fixture) withVersion(version int64) {
	config := *testConfig
	config.Version = version
	snapshot := *f.snapshot.Load()
	snapshot.Config = &config
	f.snapshot.Store(&snapshot)
}

// Guards against CONFIG: a daemon that had sent requests through another one, which went by a
// newer configuration, handled later ones by its own older configuration once it reached
// endpoints again, though the store turned it away.
func TestDaemonGoesBackToItsOlderConfiguration(t *testing.T) {
	const before, after = 3, 4
	for _, c := range []struct {
		name   string
		path   string
		key    string
		alone  bool  // the other daemon isn't known any more
		own    int64 // version that the daemon holds by then
		status int
		here   int // requests that came to its own endpoint
	}{
		{"plain", "/read/x", "good-key", false, before, 200, 0},
		{"may run once", "/file/x", "good-key", false, before, 200, 0},
		{"public", "/open/x", "", false, before, 200, 0},
		{"no other daemon", "/read/x", "good-key", true, before, 503, 0},
		{"public, no other daemon", "/open/x", "", true, before, 503, 0},
		{"route that the newer one may have", "/none/x", "good-key", false, before, 503, 0},
		{"key that the newer one may have", "/read/x", "new-key", false, before, 503, 0},
		{"it holds the newer one", "/read/x", "good-key", false, after, 200, 1},
		{"it holds a later one, no other daemon", "/read/x", "good-key", true, after + 1, 200, 1},
		{"it holds the newer one, unknown key", "/read/x", "new-key", false, after, 401, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelayRig(t, "plain", signed(200, "ok"), nil)
			r.sound.withVersion(after)
			is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusOK)
			r.cut.cut.Store(false) // it reaches endpoints again
			r.cut.withVersion(c.own)
			if c.alone {
				r.cut.peers = nil
			}
			through := r.endpoint.count()
			got := r.cut.call(t, "GET", c.path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+c.key) })
			is.Equal(got.status, c.status)
			is.Equal(r.unreached.count(), c.here)
			is.Equal(r.endpoint.count()-through > 0, c.status == 200 && c.here == 0)
		})
	}
}

// A daemon that doesn't reach the store waits for no version: its callers are answered at once.
func TestVersionIsNotAwaitedWithoutTheStore(t *testing.T) {
	is := is.New(t)
	r := newRelayRig(t, "plain", signed(200, "ok"), nil)
	r.cut.front.noteVersion(testConfig.Version + 1)
	r.cut.cut.Store(false)
	r.cut.peers = nil
	r.cut.age = readAge + time.Millisecond
	began := time.Now()
	is.Equal(r.cut.call(t, "GET", "/open/x", nil).status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < versionWait)
	is.Equal(r.unreached.count(), 0)
}
