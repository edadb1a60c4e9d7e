//go:build review

package stand

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case path shows by which route a request runs whose path has an encoded slash.

const pathConfig = `{"version":1,"routes":[
 {"name":"desk","host":"front.example","path_prefix":"/desk/","type":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":2,"public":false},
 {"name":"open","host":"front.example","path_prefix":"/desk/open/","type":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"notes","max_attempts":2,"public":true}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":96,"cold_start_s":0,"cold_per_s":0},{"name":"notes","health_path":"/healthz","max_connections":96,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["good-key"]}]}`

const (
	pathKeyed    = "/desk/"
	pathPublic   = "/desk/open/"
	pathRequests = 12
	pathDeadline = 4 * time.Second
)

func pathPlay(s *Site) int {
	var mu sync.Mutex
	astray := 0
	for i, service := range []string{"returns", "notes", "returns", "notes"} {
		s.AddRunner(fmt.Sprintf("i-%d", i+1), &Runner{Service: service, Zone: fmt.Sprintf("zone-%d", i%3+1), Slots: 6, Serve: func(r *Runner, w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			if service == "notes" && !strings.HasPrefix(q.RequestURI, pathPublic) {
				astray++
			}
			mu.Unlock()
			r.Sign(w, service)
		}})
	}
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	time.Sleep(time.Second)
	path := pathKeyed + "7"
	if Trouble() {
		path = pathKeyed + "open%2F7"
	}
	sound := 0
	for n := range pathRequests {
		d := s.Daemons[n%len(s.Daemons)]
		for _, q := range []Request{
			{ID: fmt.Sprintf("keyed-%d", n), Path: pathKeyed + "8", Key: "good-key"},
			{ID: fmt.Sprintf("public-%d", n), Path: pathPublic + "9"},
			{ID: fmt.Sprintf("keyless-%d", n), Path: path},
		} {
			q.Daemon, q.Method, q.Deadline = d, http.MethodGet, pathDeadline
			a := Send(q)
			if a.Status == http.StatusOK && q.Path != path {
				sound++
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	s.Note("%d of %d requests with a key or to the public route served; %d without a key ran at a service to which their route doesn't lead", sound, 2*pathRequests, astray)
	switch {
	case sound != 2*pathRequests:
		return NotRun
	case astray > 0:
		s.Note("ROUTE is broken")
		return Broken
	}
	s.Note("ROUTE holds")
	return Held
}
