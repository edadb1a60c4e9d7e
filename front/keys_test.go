package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// Guards against CONFIG and ROUTE: once the client accounts had no key left, requests with
// keys that had been taken away ran, and so did requests with any other key and without one.
func TestNoKeyIsLeft(t *testing.T) {
	none := map[string]site.Account{}
	one := map[string]site.Account{"good-key": {Name: "guild"}}
	empty := map[string]site.Account{"": {Name: "guild"}}
	for _, c := range []struct {
		name     string
		open     bool
		accounts map[string]site.Account
		path     string
		header   string // Authorization
		status   int
		account  string // that the endpoint is told
	}{
		{"key that was taken away", false, none, "/read/", "Bearer good-key", 401, ""},
		{"key that never was", false, none, "/read/", "Bearer other-key", 401, ""},
		{"no key", false, none, "/read/", "", 401, ""},
		{"empty key", false, none, "/read/", "Bearer ", 401, ""},
		{"map of accounts that isn't set", false, nil, "/read/", "Bearer good-key", 401, ""},
		{"no key, an account with an empty one", false, empty, "/read/", "", 401, ""},
		{"another scheme, an account with an empty key", false, empty, "/read/", "Basic x", 401, ""},
		{"public route", false, none, "/open/", "", 200, ""},
		{"public route, key that was taken away", false, none, "/open/", "Bearer good-key", 200, ""},
		{"key that is given anew", false, one, "/read/", "Bearer good-key", 200, "guild"},
		{"no accounts", true, none, "/read/", "", 200, ""},
		{"no accounts, a key", true, none, "/read/", "Bearer good-key", 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account := ""
			b := newStub(t, "a", func(w io.Writer, r *http.Request) bool {
				account = r.Header.Get("X-Tenant")
				return signed(200, "x")(w, r)
			})
			f := newFixture(t, "plain", b)
			config := *testConfig
			config.Open, config.Accounts = c.open, c.accounts
			snapshot := *f.snapshot.Load()
			snapshot.Config = &config
			f.snapshot.Store(&snapshot)
			got := f.call(t, "GET", c.path, func(r *http.Request) { r.Header.Set("Authorization", c.header) })
			is.Equal(got.status, c.status)
			is.Equal(account, c.account)
			is.Equal(b.count() > 0, c.status == 200) // a refused request has not run
		})
	}
}

// Guards against CONFIG: a request whose client account has no name was taken for one that
// needed no key, so that its key wasn't looked at again when the snapshot had become too old
// while it waited for a slot.
func TestKeyOfAnAccountWithoutAName(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain")
	config := *testConfig
	config.Accounts = map[string]site.Account{"good-key": {}}
	j := &job{r: httptest.NewRequest("GET", "/read/", nil), route: testConfig.Routes[0]}
	j.r.Header.Set("Authorization", "Bearer good-key")
	_, refused := f.front.identify(j, &watch.Snapshot{Config: &config}, false)
	is.Equal(refused, nil)
	is.True(!f.front.isStaleFor(j))
	f.age = 4 * time.Second
	is.True(f.front.isStaleFor(j))
	j.route.Public = true
	open := &job{r: j.r, route: j.route}
	_, refused = f.front.identify(open, &watch.Snapshot{Config: &config}, false)
	is.Equal(refused, nil)
	is.True(!f.front.isStaleFor(open))
}
