package groups

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

// newKeeper returns a keeper on a false clock that hears nobody.
func newKeeper() *Keeper {
	return New(Options{
		Self: site.Daemon{ID: "d1"}, Boot: func() time.Duration { return time.Minute }, Log: logr.Discard(),
		Alive: func() []gossip.Message { return nil }, Demand: func() map[string]int { return nil }, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

// An engine keeps the weights of its last group, which no report tells once it
// is outside. A daemon out of office notes it too, and knows it when it follows.
func TestLastModelsSurviveTheKeeper(t *testing.T) {
	is := is.New(t)
	service := site.Service{Name: "s", Engine: &labEngine}
	k := newKeeper()
	see := func(born int64, phase site.Phase, models ...string) {
		view := &sight.View{Endpoints: map[string]site.Endpoint{"e": {ID: "e", Service: "s", State: site.State{
			Born: born, Models: models, Member: site.Member{Group: "g", Epoch: 1, Phase: phase},
		}}}}
		k.observe(view, service)
	}
	at := func(model string) readiness {
		return NewPlanner(2, k.last).readiness(Unit{Endpoint: site.Endpoint{ID: "e"}}, model)
	}
	see(1, site.Joining, "large")
	is.Equal(at("large"), empty) // it may never have finished
	see(1, site.Open, "large")
	see(1, site.Outside)
	is.Equal(at("large"), again)
	is.Equal(at("small"), empty)
	see(2, site.Outside)
	is.Equal(at("large"), empty) // another life has nothing loaded
}

// Two daemons could follow a keeper that leaves: the one that leaves is no longer
// in the way, although it still serves.
func TestLeavingDaemonGivesUpOffice(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	fresh := true
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{From: site.Daemon{ID: "d0"}, Ready: true, Fresh: fresh}}
	}
	is.True(k.holds("d0"))
	is.True(!k.first())
	fresh = false
	is.True(!k.holds("d0"))
	is.True(k.first())
}

// What another daemon saw stand still is asked, with all of its group.
func TestStuckGroupIsAsked(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	k.planner = NewPlanner(1, nil)
	k.planner.groups["g"] = &group{name: "g", members: []member{{id: "a"}, {id: "b"}}, stage: serving}
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{Heads: map[string]gossip.Head{"a": {Stuck: true}, "c": {Running: 3}}}}
	}
	k.watchOver()
	until := time.Minute + checkFor
	is.Equal(k.checks, map[string]time.Duration{"a": until, "b": until})
}

// A report that can't be read is no silence, and is logged.
func TestReportNotTaken(t *testing.T) {
	is := is.New(t)
	var lines []string
	k := newKeeper()
	k.options.Log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	k.options.Engines = &platform.Engines{Do: func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{"))}, nil
	}}
	k.fetch(t.Context(), site.Endpoint{ID: "e", Address: "127.0.0.1:1"})
	is.Equal(k.reports["e"].misses, 0)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"msg"="report not taken" "endpoint"="e" "error"="platform: decode report: Malformed`))
}
