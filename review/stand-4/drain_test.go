//go:build review

package stand

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The case drain shows whether a runner that drains gets requests again after the store has
// carried out an earlier write of its entry late.

const drainConfig = `{"version":1,"routes":[
 {"name":"file","host":"front.example","path_prefix":"/file/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":1,"public":false}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":96,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["good-key"]}]}`

const (
	drainWorkTime   = 200 * time.Millisecond
	drainLoadPeriod = 20 * time.Millisecond
	drainDeadline   = 4 * time.Second
	drainWarmUp     = 5 * time.Second
	drainLostFor    = time.Second             // for which answers of the store are lost
	drainLate       = 5900 * time.Millisecond // after which the store writes the entry; 1 to 6 s
	drainContact    = 3 * time.Second         // contact_ms
	drainDrainTime  = 2 * time.Second         // drain_ms
	drainServeOn    = 3700 * time.Millisecond // for which the runner serves on after its report, until it exits
	drainRest       = 4 * time.Second         // until the end
)

func drainPlay(s *Site) int {
	var mu sync.Mutex
	var boundAt time.Duration // when the runner may get no more requests, 0 before it drains
	served, broken, lost := 0, 0, 0
	var first *Runner
	for i := range 3 {
		r := s.AddRunner(fmt.Sprintf("i-%d", i+1), &Runner{Service: "returns", Zone: fmt.Sprintf("zone-%d", i+1), Slots: 6, Serve: func(r *Runner, w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("X-Request-Id")
			mu.Lock()
			if r == first && boundAt > 0 && s.Now() > boundAt {
				broken++
				s.Note("runner %s, draining, runs %s", r.ID(), id)
			}
			mu.Unlock()
			time.Sleep(drainWorkTime)
			r.Sign(w, "filed "+id)
		}})
		if i == 0 {
			mu.Lock()
			first = r
			mu.Unlock()
		}
	}
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		var sent sync.WaitGroup
		defer sent.Wait()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(drainLoadPeriod):
			}
			d := s.Daemons[n%len(s.Daemons)]
			sent.Go(func() {
				id := fmt.Sprintf("r-%d", n)
				a := Send(Request{Daemon: d, Method: http.MethodPost, Path: "/file/a", ID: id, Key: "good-key", Body: id, Deadline: drainDeadline})
				mu.Lock()
				defer mu.Unlock()
				if a.Status == http.StatusOK {
					served++
					return
				}
				if a.Status != http.StatusServiceUnavailable {
					lost++
				}
			})
		}
	})
	time.Sleep(drainWarmUp)
	s.Note("answers of the store are lost for %v", drainLostFor)
	time.Sleep(drainLostFor - 100*time.Millisecond)
	if Trouble() {
		first.BeatLate(drainLate)
	}
	time.Sleep(100*time.Millisecond + drainContact + 100*time.Millisecond)
	s.Note("the store has been stable for %v", drainContact)
	first.Drain()
	mu.Lock()
	boundAt = s.Now() + drainDrainTime
	mu.Unlock()
	time.Sleep(drainServeOn)
	first.Exit()
	time.Sleep(drainRest)
	close(stop)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.Note("%d requests served, %d failed that may have run; %d reached the runner over %v after its report was acknowledged", served, lost, broken, drainDrainTime)
	switch {
	case served == 0:
		return NotRun
	case broken > 0:
		s.Note("DRAIN is broken")
		return Broken
	}
	s.Note("DRAIN holds")
	return Held
}
