package front

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// Guards against ROUTE: a route none of whose services had a weight was read as one without
// weights, and its requests ran at the first service.
func TestServiceWithoutWeight(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares []site.Share
		want   string // the services that may be chosen, empty for none
	}{
		{"no share", nil, ""},
		{"one without weight", []site.Share{{Service: "a"}}, ""},
		{"all without weight", []site.Share{{Service: "a"}, {Service: "b"}}, ""},
		{"below 0", []site.Share{{Service: "a", Weight: -1}}, ""},
		{"one of two", []site.Share{{Service: "a"}, {Service: "b", Weight: 3}}, "b"},
		{"below 0 beside another", []site.Share{{Service: "a", Weight: -3}, {Service: "b", Weight: 1}}, "b"},
		{"one with a weight", []site.Share{{Service: "a", Weight: 100}}, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, random := range []func(int) int{func(int) int { return 0 }, func(n int) int { return n - 1 }} {
				service, found := chooseService(c.shares, random)
				is.Equal(service, c.want)
				is.Equal(found, c.want != "")
			}
			if c.want != "" {
				return
			}
			b := newStub(t, "a", signed(200, "x"))
			f := newFixture(t, "a", b)
			config := *testConfig
			config.Routes = []site.Route{testConfig.Routes[0]}
			config.Routes[0].Shares = c.shares
			snapshot := *f.snapshot.Load()
			snapshot.Config = &config
			f.snapshot.Store(&snapshot)
			is.Equal(f.call(t, "GET", "/read/", nil).status, 503)
			is.Equal(b.count(), 0)
		})
	}
}
