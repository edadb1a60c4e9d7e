//go:build review

package stand

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/simul"
)

// The case ids shows what becomes of streams whose events have increasing ids that aren't
// consecutive: those of runners that number an event by the last of its tokens.

const idsConfig = `{"version":1,"routes":[
 {"name":"talk","host":"front.example","path_prefix":"/talk/","type":"streaming","timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"engines","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":200},
 {"name":"look","host":"front.example","path_prefix":"/look/","type":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":2,"public":false}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":96,"cold_start_s":0,"cold_per_s":0},
 {"name":"engines","health_path":"/healthz","max_connections":438,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":16,"kv_capacity_tokens":1860000,"stride":5,"step_ms":4,"read_per_s":45900,"loads_per_s":5,"loads_at_once":7,"cached_prefixes":1,"report_lag_ms":50,"form_ms":50,"models":[{"name":"m","size":2,"traffic_share":1,"pace":1,"load_s":1,"warm_s":0.1}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["good-key"]}]}`

const (
	idsEngines   = 4
	idsEvents    = 20
	idsStreams   = 30
	idsPerEvent  = 5 // tokens
	idsEventTime = 20 * time.Millisecond
	idsDeadline  = 6 * time.Second
	idsPeriod    = 200 * time.Millisecond // between two streams
)

func idsPlay(s *Site) int {
	step := 1
	if Trouble() {
		step = idsPerEvent
	}
	s.Note("an event has %d tokens, by the last of which it is numbered", step)
	for i := range idsEngines {
		o := simul.RunnerOptions{ID: fmt.Sprintf("e-%d", i+1), Service: "engines", Domain: "zone-1", Fabric: "f1", Slots: 16, Join: 200 * time.Millisecond, Event: idsEventTime, Events: idsEvents}
		s.AddEngine(o, func(next http.Handler) http.Handler { return idsRenumber(s, next, step) })
	}
	s.AddRunner("i-1", &Runner{Service: "returns", Zone: "zone-1", Slots: 6, Serve: func(r *Runner, w http.ResponseWriter, _ *http.Request) { r.Sign(w, "found") }})
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	time.Sleep(6 * time.Second) // groups form
	var all sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	for n := range idsStreams {
		d := s.Daemons[n%len(s.Daemons)]
		all.Go(func() {
			result := idsStream(s, d, n, step)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
		time.Sleep(idsPeriod)
	}
	all.Wait()
	s.Note("streams on kept connections by what came of them: %v", results)
	switch {
	case results[idsCut] > 3:
		s.Note("LOST is broken: allowed are 3 connections that are closed without an answer")
		return Broken
	case results[idsWhole] == 0:
		return NotRun
	}
	s.Note("LOST holds")
	return Held
}

// What came of a stream.
const (
	idsWhole   = "whole"
	idsCut     = "cut"
	idsRefused = "refused"
)

// idsStream asks for a stream on a connection that has carried a request.
func idsStream(s *Site, d *Daemon, n, step int) string {
	client := &http.Client{Timeout: idsDeadline, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	if _, body, err := idsAsk(client, d, http.MethodGet, "/look/a", fmt.Sprintf("look-%d", n)); err != nil || body != "found" {
		s.Note("look-%d by %s: %q, error %v", n, d.Name, body, err)
		return idsRefused
	}
	status, body, err := idsAsk(client, d, http.MethodPost, "/talk/a", fmt.Sprintf("talk-%d", n))
	got := strings.Count(body, "\ndata:")
	s.Note("talk-%d by %s: status %d, %d of %d events, error %v", n, d.Name, status, got, idsEvents, err)
	switch {
	case status == http.StatusOK && err == nil && got == idsEvents && strings.Contains(body, fmt.Sprintf("id: %d\n", idsEvents*step)):
		return idsWhole
	case err != nil:
		return idsCut
	}
	return idsRefused
}

func idsAsk(client *http.Client, d *Daemon, method, path, id string) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+d.Caller+path, http.NoBody)
	Check(err)
	r.Host = "front.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(idsDeadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer good-key")
	if strings.HasPrefix(path, "/talk/") {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", "100,100")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// idsRenumber makes an engine number its events by tokens.
func idsRenumber(s *Site, next http.Handler, step int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
			q.Header.Set("Last-Event-Id", strconv.Itoa(last/step))
		}
		if strings.HasPrefix(q.URL.Path, "/talk/") {
			s.Note("%s reaches %s, Last-Event-Id %q", q.Header.Get("X-Request-Id"), q.Header.Get("X-Expect-Instance"), q.Header.Get("Last-Event-Id"))
		}
		next.ServeHTTP(&idsNumberWriter{w, step}, q)
	})
}

var idsIdLine = regexp.MustCompile(`(?m)^id: *(\d+)`)

type idsNumberWriter struct {
	http.ResponseWriter
	step int
}

func (w *idsNumberWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *idsNumberWriter) Write(b []byte) (int, error) {
	text := idsIdLine.ReplaceAllStringFunc(string(b), func(line string) string {
		n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "id:")))
		Check(err)
		return fmt.Sprintf("id: %d", n*w.step)
	})
	if _, err := io.WriteString(w.ResponseWriter, text); err != nil {
		return 0, err
	}
	return len(b), nil
}
