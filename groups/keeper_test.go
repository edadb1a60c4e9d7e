package groups

import (
	"context"
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
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// newKeeper returns a keeper with a fixed clock that hears no other daemon.
func newKeeper() *Keeper {
	return New(Options{
		Self: site.Daemon{ID: "d1"}, Boot: func() time.Duration { return time.Minute }, Log: logr.Discard(),
		Alive: func() []gossip.Message { return nil }, Demand: func() map[string]int { return nil }, Leaving: func(site.Endpoint) bool { return false },
		Late: func(time.Duration) time.Duration { return 0 }, Reached: func(context.Context, time.Duration) bool { return true },
		Progresses: func(string) bool { return false },
		Failed:     func(string) {}, CutOff: func() bool { return false }, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

// An engine keeps the weights of its last group, which no report shows once it is
// outside. A daemon that is not the keeper must record the model too, to know it
// when it becomes keeper.
func TestLastModelsOutliveKeeper(t *testing.T) {
	is := is.New(t)
	service := site.Service{Name: "s", Engine: &testEngine}
	k := newKeeper()
	record := func(started int64, phase site.Phase, models ...string) {
		stored := &watch.Snapshot{Endpoints: map[string]site.Endpoint{"e": {ID: "e", Service: "s", State: site.State{
			Started: started, Models: models, Member: site.Member{Group: "g", Epoch: 1, Phase: phase},
		}}}}
		k.recordLastModels(stored, service)
	}
	readinessFor := func(model string) readiness {
		return NewPlanner(2, k.lastModel).readiness(EndpointState{Endpoint: site.Endpoint{ID: "e"}}, model)
	}
	record(1, site.Joining, "large")
	is.Equal(readinessFor("large"), absent) // the join may never have completed
	record(1, site.Open, "large")
	record(1, site.Outside)
	is.Equal(readinessFor("large"), resident)
	is.Equal(readinessFor("small"), absent)
	record(2, site.Outside)
	is.Equal(readinessFor("large"), absent) // a restarted engine has nothing loaded
}

// A daemon that is shutting down no longer counts as fresh, although it still
// serves. It must neither count as keeper nor keep another candidate from following.
func TestStaleDaemonIsNotCandidate(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	fresh := true
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{From: site.Daemon{ID: "d0"}, Ready: true, Fresh: fresh}}
	}
	is.True(k.heardFresh("d0"))
	is.True(!k.firstCandidate(&watch.Snapshot{}, time.Minute))
	fresh = false
	is.True(!k.heardFresh("d0"))
	is.True(k.firstCandidate(&watch.Snapshot{}, time.Minute))
}

// A keeper works for the whole fleet, so a small instance must not become keeper before a
// larger one, nor at the start, when none has been heard.
func TestSmallInstanceBecomesKeeper(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	k.options.Self.Cores = 0.2
	large := site.Daemon{ID: "d2", Cores: 0.8}
	var heard []gossip.Message
	k.options.Alive = func() []gossip.Message { return heard }
	listed := &watch.Snapshot{Daemons: map[string]site.Daemon{"d2": large}}
	is.True(!k.firstCandidate(listed, 0))
	is.True(k.firstCandidate(listed, yieldTime)) // it may be dead
	heard = []gossip.Message{{From: large, Ready: true, Fresh: true}}
	is.True(!k.firstCandidate(listed, yieldTime))
	heard[0].From.Cores = 0.2
	is.True(k.firstCandidate(listed, yieldTime))
}

// Daemons without enough processor time heard the keeper late and took office from it, one
// after the other and each smaller than the one before.
func TestDaemonThatHearsLateTakesOffice(t *testing.T) {
	large := site.Daemon{ID: "d2", Cores: 0.8}
	alike := site.Daemon{ID: "d0", Cores: 0.2}
	heardOf := func(d site.Daemon) []gossip.Message { return []gossip.Message{{From: d}} } // it doesn't count as a candidate
	for _, c := range []struct {
		name    string
		listed  []site.Daemon
		heard   []gossip.Message
		present string
		late    time.Duration
		want    time.Duration
	}{
		{"a larger one isn't heard", []site.Daemon{large}, nil, "d2", 0, lateWait},
		{"another one isn't heard", []site.Daemon{large, alike}, nil, "d0", 0, lateWait},
		{"one alike is heard", []site.Daemon{large, alike}, heardOf(alike), "d2", 0, lateWait},
		{"a larger one isn't heard, no keeper yet", []site.Daemon{large}, nil, "", 0, lateWait},
		{"a larger one is heard, unfit", []site.Daemon{large}, heardOf(large), "d2", 0, takeoverWait},
		{"a larger one is heard, no keeper yet", []site.Daemon{large}, heardOf(large), "", 0, 0},
		{"all are alike", []site.Daemon{alike}, nil, "d0", 0, takeoverWait},
		{"all are alike, a little late", []site.Daemon{alike}, nil, "d0", takeoverWait / 4, takeoverWait},
		{"all are alike, late", []site.Daemon{alike}, nil, "d0", takeoverWait, lateWait},
		{"late in its start, no keeper yet", []site.Daemon{alike}, nil, "", takeoverWait, 0},
		{"none is listed, no keeper yet", nil, nil, "", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper()
			k.options.Self.Cores = 0.2
			k.options.Alive = func() []gossip.Message { return c.heard }
			k.options.Late = func(since time.Duration) time.Duration {
				is.Equal(since, time.Minute-lateWait)
				return c.late
			}
			stored := &watch.Snapshot{Daemons: map[string]site.Daemon{}}
			for _, d := range c.listed {
				stored.Daemons[d.ID] = d
			}
			is.Equal(k.campaignWait(stored, c.present, time.Minute), c.want)
		})
	}
}

// If another daemon reports an endpoint as stalled, all members of its group must be
// polled.
func TestStalledGroupIsPolled(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	k.planner = NewPlanner(1, nil)
	k.planner.groups["g"] = &group{name: "g", members: []member{{id: "a"}, {id: "b"}}, stage: serving}
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{Endpoints: map[string]gossip.EndpointLoad{"a": {Stalled: true}, "c": {Running: 3}}}}
	}
	k.noteStalled()
	until := time.Minute + checkDuration
	is.Equal(k.checks, map[string]time.Duration{"a": until, "b": until})
}

// A malformed report must not count as a missed one, and must be logged.
func TestMalformedReportIsLogged(t *testing.T) {
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

// A plain endpoint that another daemon reports as stalled has no report: a request for
// one would take one of its few slots.
func TestPlainEndpointIsNotPolled(t *testing.T) {
	is := is.New(t)
	polled := make(chan string, 8)
	k := newKeeper()
	k.planner = NewPlanner(1, nil)
	k.options.Engines = &platform.Engines{Do: func(r *http.Request) (*http.Response, error) {
		polled <- r.Header.Get(platform.HeaderExpectInstance)
		return &http.Response{StatusCode: http.StatusBadRequest, Body: http.NoBody}, nil
	}}
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{Endpoints: map[string]gossip.EndpointLoad{"plain": {Stalled: true}, "engine": {Stalled: true}}}}
	}
	stored := &watch.Snapshot{
		Config: &site.Config{Services: map[string]site.Service{"p": {Name: "p"}, "s": {Name: "s", Engine: &testEngine}}},
		Endpoints: map[string]site.Endpoint{
			"plain":  {ID: "plain", Service: "p", Address: "127.0.0.1:1"},
			"engine": {ID: "engine", Service: "s", Address: "127.0.0.1:2"},
		},
	}
	k.noteStalled()
	k.poll(t.Context(), stored, nil)
	is.Equal(<-polled, "engine")
	select {
	case id := <-polled:
		t.Errorf("%s was polled", id)
	case <-time.After(2 * secondRequestAfter):
	}
}

// An endpoint whose reports can't be used is polled every 200 ms. Its log line must be
// written when that begins and when the error changes, not with each poll.
func TestUnusableReportIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines []string
	status, body := http.StatusBadRequest, ""
	k := newKeeper()
	k.options.Log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	k.options.Engines = &platform.Engines{Do: func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
	}}
	fetch := func(times int) int {
		for range times {
			k.fetch(t.Context(), site.Endpoint{ID: "e", Address: "127.0.0.1:1"})
		}
		return len(lines)
	}
	is.Equal(fetch(20), 1)
	status = http.StatusNotFound
	is.Equal(fetch(20), 2)
	status, body = http.StatusOK, `{"phase":"both","models":[]}`
	is.Equal(fetch(20), 2)
	status = http.StatusNotFound
	is.Equal(fetch(20), 3)
}

// A keeper that is cut off from all endpoints finds each of them silent. It must not hold
// that against them, and must leave its office to a daemon that reaches them.
func TestCutOffKeeperGivesUpGroups(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	reached, cutOff := false, false
	var failed []string
	k.options.Reached = func(context.Context, time.Duration) bool { return reached }
	k.options.CutOff = func() bool { return cutOff }
	k.options.Failed = func(endpoint string) { failed = append(failed, endpoint) }
	k.options.Engines = &platform.Engines{Do: func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }}
	e := site.Endpoint{ID: "e", Address: "127.0.0.1:1"}
	k.fetch(t.Context(), e)
	is.Equal(k.reports["e"].misses, 0)
	is.True(k.checks["e"] > k.options.Boot()) // asked again
	is.Equal(failed, []string{"e"})
	reached = true
	k.fetch(t.Context(), e)
	is.Equal(k.reports["e"].misses, 1)
	k.term = 3
	is.True(k.remainsKeeper(&watch.Snapshot{}))
	cutOff = true
	is.True(!k.remainsKeeper(&watch.Snapshot{}))
}

// A daemon that is cut off from endpoints neither counts as keeper nor keeps another
// candidate from following.
func TestCutOffDaemonIsNotCandidate(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{From: site.Daemon{ID: "d0"}, Ready: true, Fresh: true, Cut: true}}
	}
	is.True(!k.heardFresh("d0"))
	is.True(k.firstCandidate(&watch.Snapshot{}, time.Minute))
}
