package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a CONFIG whose cause nothing tells: the last line of a request says by which
// version and era it was admitted, what showed that version to be the newest, and its age.
func TestAdmissionIsLogged(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		key      string
		open     bool
		unshown  bool
		status   int
		basis    string
		admitted float64
	}{
		{"key", "/read/", "good-key", false, false, 200, "settledVersion", 3},
		{"unknown key", "/read/", "other-key", false, false, 401, "", 0},
		{"key, but nothing shows the version to be the newest", "/read/", "good-key", false, true, 503, "", 0},
		{"public route", "/open/", "", false, true, 200, "publicRoute", 3},
		{"no accounts", "/read/", "", true, true, 200, "noAccounts", 3},
		{"no route", "/none/", "good-key", false, false, 404, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "plain", newStub(t, "a", signed(200, "x")))
			f.age = 40 * time.Millisecond
			config := *testConfig
			config.Open = c.open
			snapshot := *f.snapshot.Load()
			snapshot.Config, snapshot.Era = &config, 2
			if c.unshown {
				snapshot.Settled.Version = 1
			}
			f.snapshot.Store(&snapshot)
			got := f.call(t, "GET", c.path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+c.key) })
			is.Equal(got.status, c.status)
			end := f.awaitEnd(t)
			is.Equal(end["basis"], c.basis)
			is.Equal(end["admitted"], c.admitted)
			if c.admitted > 0 {
				is.Equal(end["era"], 2.0)
				is.Equal(end["admitted_age_ms"], 40.0)
			}
		})
	}
}

// awaitEnd returns the fields of the line on the end of a request.
func (f *fixture) awaitEnd(t *testing.T) map[string]any {
	t.Helper()
	for range 100 {
		for _, line := range strings.Split(f.log.String(), "\n") {
			var fields map[string]any
			if json.Unmarshal([]byte(line), &fields) != nil {
				continue
			}
			if message, _ := fields["msg"].(string); strings.HasPrefix(message, "request ") {
				return fields
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no line on the end of the request")
	return nil
}
