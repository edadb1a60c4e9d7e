package groups

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// processor makes calls to sound endpoints on one processor, which each call needs for a
// time.
type processor struct {
	busy chan struct{}
	need time.Duration
}

func newProcessor(need time.Duration) *processor {
	return &processor{busy: make(chan struct{}, 1), need: need}
}

// do answers a request once it has had the processor, or fails as its context ends.
func (p *processor) do(r *http.Request) (*http.Response, error) {
	select {
	case p.busy <- struct{}{}:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	time.Sleep(p.need)
	<-p.busy
	body := `{"phase":"both","models":[],"born":1,"sequence":0,"group":{"name":"","epoch":0,"rank":0,"state":""},"domain":"f","staged":[]}`
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// manyEndpoints returns a snapshot with so many sound endpoints of one engine service,
// and their IDs.
func manyEndpoints(n int) (*watch.Snapshot, []string) {
	stored := &watch.Snapshot{
		Config:    &site.Config{Services: map[string]site.Service{"s": {Name: "s", Engine: &testEngine}}},
		Endpoints: map[string]site.Endpoint{},
	}
	var ids []string
	for i := range n {
		id := fmt.Sprintf("e%03d", i)
		ids = append(ids, id)
		stored.Endpoints[id] = site.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"}
	}
	return stored, ids
}

// A keeper that requests many reports at once must not take those that wait for its own
// processor for the silence of endpoints.
func TestManyReportsMakeSoundEndpointsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		p := newProcessor(3 * time.Millisecond)
		k := newKeeper()
		k.options.Boot = func() time.Duration { return time.Minute + time.Since(start) }
		k.planner = NewPlanner(1, nil)
		k.options.Engines = &platform.Engines{Do: p.do}
		stored, ids := manyEndpoints(216)
		k.poll(t.Context(), stored, ids)
		time.Sleep(5 * time.Second)
		k.mu.Lock()
		defer k.mu.Unlock()
		silent := 0
		for _, id := range ids {
			if k.reports[id].misses > 0 {
				silent++
			}
		}
		is.Equal(silent, 0)
	})
}

// A keeper that had no processor, or was suspended, while it waited for a report must not
// take the endpoint for silent. One that ran on time must.
func TestLateKeeperMakesSoundEndpointsSilent(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
		miss int
	}{
		{"on time", 0, 1},
		{"a little late", reportTimeout / 10, 1},
		{"late", reportTimeout, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := newKeeper()
				k.options.Late = func(time.Duration) time.Duration { return c.late }
				k.options.Engines = &platform.Engines{Do: func(r *http.Request) (*http.Response, error) {
					<-r.Context().Done()
					return nil, r.Context().Err()
				}}
				k.fetch(t.Context(), site.Endpoint{ID: "e", Address: "127.0.0.1:1"})
				is.Equal(k.reports["e"].misses, c.miss)
			})
		})
	}
}

// An order that waited until its group was given up must not be sent: the endpoint would
// join a group that nobody knows.
func TestOrderOfAbandonedGroupIsSent(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 4)
	p := NewPlanner(1, nil)
	var snap Snapshot
	var orders []Order
	for len(orders) < 2 && c.now < 10*time.Second {
		c.tick()
		snap = c.snapshot(c.ids())
		orders = p.Step(snap)
	}
	is.True(len(orders) > 1)
	first, second := orders[0], orders[1]
	is.True(p.Sending(first.To.ID, first.Order, snap.Now))
	p.setStage(p.groups[second.Order.Group], ending, snap, "given up")
	is.True(!p.Sending(second.To.ID, second.Order, snap.Now))
	is.Equal(p.records[second.To.ID].outcome, refused)
	is.True(p.records[second.To.ID].sequenceKnown) // nothing was sent
}
