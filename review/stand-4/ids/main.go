//go:build review

// Command ids shows what becomes of streams whose events have increasing ids that aren't
// consecutive: those of runners that number an event by the last of its tokens.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/review/stand-4/rig"
	"clementinehead.example/chead/simul"
)

const config = `{"version":1,"routes":[
 {"name":"talk","host":"front.example","path_prefix":"/talk/","type":"streaming","timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"engines","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":200},
 {"name":"look","host":"front.example","path_prefix":"/look/","type":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":2,"public":false}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":96,"cold_start_s":0,"cold_per_s":0},
 {"name":"engines","health_path":"/healthz","max_connections":438,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":16,"kv_capacity_tokens":1860000,"stride":5,"step_ms":4,"read_per_s":45900,"loads_per_s":5,"loads_at_once":7,"cached_prefixes":1,"report_lag_ms":50,"form_ms":50,"models":[{"name":"m","size":2,"traffic_share":1,"pace":1,"load_s":1,"warm_s":0.1}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["good-key"]}]}`

const (
	engines   = 4
	events    = 20
	streams   = 30
	perEvent  = 5 // tokens
	eventTime = 20 * time.Millisecond
	deadline  = 6 * time.Second
	period    = 200 * time.Millisecond // between two streams
)

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	s := rig.New(*record, config)
	code := play(s)
	s.Close()
	os.Exit(code)
}

func play(s *rig.Site) int {
	step := 1
	if rig.Trouble() {
		step = perEvent
	}
	s.Note("an event has %d tokens, by the last of which it is numbered", step)
	for i := range engines {
		o := simul.RunnerOptions{ID: fmt.Sprintf("e-%d", i+1), Service: "engines", Domain: "zone-1", Fabric: "f1", Slots: 16, Join: 200 * time.Millisecond, Event: eventTime, Events: events}
		s.AddEngine(o, func(next http.Handler) http.Handler { return renumber(s, next, step) })
	}
	s.AddRunner("i-1", &rig.Runner{Service: "returns", Zone: "zone-1", Slots: 6, Serve: func(r *rig.Runner, w http.ResponseWriter, _ *http.Request) { r.Sign(w, "found") }})
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	time.Sleep(6 * time.Second) // groups form
	var all sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	for n := range streams {
		d := s.Daemons[n%len(s.Daemons)]
		all.Go(func() {
			result := stream(s, d, n, step)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
		time.Sleep(period)
	}
	all.Wait()
	s.Note("streams on kept connections by what came of them: %v", results)
	switch {
	case results[cut] > 3:
		s.Note("LOST is broken: allowed are 3 connections that are closed without an answer")
		return rig.Broken
	case results[whole] == 0:
		return rig.NotRun
	}
	s.Note("LOST holds")
	return rig.Held
}

// What came of a stream.
const (
	whole   = "whole"
	cut     = "cut"
	refused = "refused"
)

// stream asks for a stream on a connection that has carried a request.
func stream(s *rig.Site, d *rig.Daemon, n, step int) string {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	if _, body, err := ask(client, d, http.MethodGet, "/look/a", fmt.Sprintf("look-%d", n)); err != nil || body != "found" {
		s.Note("look-%d by %s: %q, error %v", n, d.Name, body, err)
		return refused
	}
	status, body, err := ask(client, d, http.MethodPost, "/talk/a", fmt.Sprintf("talk-%d", n))
	got := strings.Count(body, "\ndata:")
	s.Note("talk-%d by %s: status %d, %d of %d events, error %v", n, d.Name, status, got, events, err)
	switch {
	case status == http.StatusOK && err == nil && got == events && strings.Contains(body, fmt.Sprintf("id: %d\n", events*step)):
		return whole
	case err != nil:
		return cut
	}
	return refused
}

func ask(client *http.Client, d *rig.Daemon, method, path, id string) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+d.Caller+path, http.NoBody)
	rig.Check(err)
	r.Host = "front.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
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

// renumber makes an engine number its events by tokens.
func renumber(s *rig.Site, next http.Handler, step int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
			q.Header.Set("Last-Event-Id", strconv.Itoa(last/step))
		}
		if strings.HasPrefix(q.URL.Path, "/talk/") {
			s.Note("%s reaches %s, Last-Event-Id %q", q.Header.Get("X-Request-Id"), q.Header.Get("X-Expect-Instance"), q.Header.Get("Last-Event-Id"))
		}
		next.ServeHTTP(&numberWriter{w, step}, q)
	})
}

var idLine = regexp.MustCompile(`(?m)^id: *(\d+)`)

type numberWriter struct {
	http.ResponseWriter
	step int
}

func (w *numberWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *numberWriter) Write(b []byte) (int, error) {
	text := idLine.ReplaceAllStringFunc(string(b), func(line string) string {
		n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "id:")))
		rig.Check(err)
		return fmt.Sprintf("id: %d", n*w.step)
	})
	if _, err := io.WriteString(w.ResponseWriter, text); err != nil {
		return 0, err
	}
	return len(b), nil
}
