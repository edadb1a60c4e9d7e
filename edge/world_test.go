package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/mimic"
)

// world is the whole path on loopback: the store's stand-in, runners, daemons.
type world struct {
	store   *mimic.Store
	at      *httptest.Server
	runners map[string]*httptest.Server
	engines map[string]*mimic.Runner
	daemons []Settings
	stops   []context.CancelFunc
	done    sync.WaitGroup
	calls   int
}

// id returns a new id for a request.
func (w *world) id() string {
	w.calls++
	return "id-" + strconv.Itoa(w.calls)
}

const worldConfig = `{"version":%d,"routes":[
 {"name":"talk","host":"front.example","path_prefix":"/talk/","type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"engines","max_attempts":2,"resumable":true,"target_gap_ms":300},
 {"name":"file","host":"front.example","path_prefix":"/file/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1}],
 "services":[{"name":"engines","health_path":"/healthz","max_connections":100,"engine":{"slots":8,"stride":1,"step_ms":5,"read_per_s":45000,"loads_per_s":5,"loads_at_once":7,"cached_prefixes":1,"report_lag_ms":50,"form_ms":50,
  "models":[{"name":"m","size":2,"traffic_share":1,"pace":1,"load_s":1,"warm_s":0.1}]}},
  {"name":"plain","health_path":"/healthz","max_connections":100}],
 "limits":{"max_body_bytes":100000},"tenants":[{"name":"guild","api_keys":[%s]}]}`

func (w *world) configure(version int, keys ...string) {
	w.store.Put("op/config", fmt.Appendf(nil, worldConfig, version, `"`+strings.Join(keys, `","`)+`"`))
}

// testLog writes to the file that EDGE_LOG names, if any.
func testLog(t *testing.T) logr.Logger {
	t.Helper()
	path := os.Getenv("EDGE_LOG")
	if path == "" {
		return logr.Discard()
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return logr.FromSlogHandler(slog.NewJSONHandler(file, nil))
}

func newWorld(t *testing.T, engines, daemons int) *world {
	t.Helper()
	w := &world{store: mimic.NewStore(), runners: map[string]*httptest.Server{}, engines: map[string]*mimic.Runner{}}
	w.at = httptest.NewServer(w.store)
	w.configure(1, "good-key")
	for i := range engines {
		w.runner(fmt.Sprintf("e%d", i), "engines", "f1")
	}
	w.runner("p0", "plain", "")
	for i := range daemons {
		w.daemon(t, i)
	}
	t.Cleanup(w.close)
	return w
}

func (w *world) runner(id, service, fabric string) {
	var r *mimic.Runner
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) { r.ServeHTTP(out, q) }))
	r = mimic.NewRunner(mimic.RunnerOptions{
		ID: id, Service: service, Address: server.Listener.Addr().String(), Domain: "north", Fabric: fabric, Slots: 8,
		Join: 50 * time.Millisecond, Event: 20 * time.Millisecond, Events: 30, Put: w.store.Put,
	})
	w.runners[id] = server
	w.engines[id] = r
	r.Announce()
}

func (w *world) daemon(t *testing.T, i int) {
	t.Helper()
	s := Settings{
		ID: "d" + strconv.Itoa(i), Domain: "north", Region: "r", Caller: mimic.Address(), Ready: mimic.Address(), Guide: mimic.Address(), Peer: mimic.Address(),
		Store: w.at.Listener.Addr().String(), Revoke: 5000, Apply: 2000, Grace: 6, Ratio: 0.2, Extra: 100, Window: 10,
	}
	d, err := New(Options{Settings: s, Log: testLog(t).WithValues("daemon", s.ID), Registry: prometheus.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.daemons = append(w.daemons, s)
	w.stops = append(w.stops, stop)
	w.done.Go(func() {
		if err := d.Run(ctx); err != nil {
			t.Errorf("daemon %s: %v", s.ID, err)
		}
	})
}

func (w *world) close() {
	for _, stop := range w.stops {
		stop()
	}
	w.done.Wait()
	w.at.CloseClientConnections()
	w.at.Close()
	for _, r := range w.runners {
		r.CloseClientConnections()
		r.Close()
	}
}

// addresses asks a daemon where to connect.
func (w *world) addresses(d int) []string {
	response, err := http.Get("http://" + w.daemons[d].Guide + "/api/resolve?name=front.example")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// await waits until a condition holds.
func await(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// call sends a request and returns status and body; 0 where there was none.
func (w *world) call(address, path, id, key string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return 0, ""
	}
	r.Host = "front.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "8000")
	r.Header.Set("X-Model", "m")
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := (&http.Client{Timeout: 9 * time.Second}).Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(body)
	}
	return response.StatusCode, string(body)
}

func stream(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token\n\n", i)
	}
	return b.String()
}

// The whole path: groups form, callers are told where to connect, streams and
// calls are served; a runner dies under its streams, which go on elsewhere, and
// its group is made whole; a key is taken away; a daemon leaves.
func TestWholePath(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	w := newWorld(t, 6, 3)
	await(t, "all daemons named", 10*time.Second, func() bool { return len(w.addresses(0)) == 3 })
	await(t, "a stream is served", 10*time.Second, func() bool {
		status, body := w.call(w.daemons[0].Caller, "/talk/", w.id(), "good-key")
		return status == http.StatusOK && body == stream(30)
	})
	await(t, "all groups serve", 10*time.Second, func() bool {
		_, _ = w.call(w.daemons[w.calls%3].Caller, "/talk/", w.id(), "good-key")
		serving := 0
		for id, e := range w.engines {
			if id != "p0" && len(e.Ran()) > 0 {
				serving++
			}
		}
		return serving == 3
	})
	status, body := w.call(w.daemons[1].Caller, "/file/", "once", "good-key")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done by p0")

	t.Run("a runner dies under its streams", func(t *testing.T) {
		is := is.New(t)
		var calls sync.WaitGroup
		bodies := make([]string, 12)
		for i := range bodies {
			calls.Go(func() { _, bodies[i] = w.call(w.daemons[i%3].Caller, "/talk/", "s"+strconv.Itoa(i), "good-key") })
		}
		time.Sleep(200 * time.Millisecond)
		victim := ""
		for id, e := range w.engines {
			for run := range e.Ran() {
				if strings.HasPrefix(run, "s") {
					victim = id
				}
			}
		}
		is.True(victim != "")
		w.store.Remove("servers/" + victim)
		w.runners[victim].Listener.Close()
		w.runners[victim].CloseClientConnections()
		calls.Wait()
		for _, b := range bodies {
			is.Equal(b, stream(30)) // whole, each event once
		}
	})

	t.Run("a key is taken away", func(t *testing.T) {
		w.configure(2, "other-key")
		await(t, "the key is refused everywhere", 5*time.Second, func() bool {
			for _, d := range w.daemons {
				if status, _ := w.call(d.Caller, "/file/", w.id(), "good-key"); status != http.StatusUnauthorized {
					return false
				}
			}
			return true
		})
	})

	t.Run("the store is away", func(t *testing.T) {
		is := is.New(t)
		w.store.SetDown(true)
		status, _ := w.call(w.daemons[0].Caller, "/file/", "down", "other-key")
		is.Equal(status, http.StatusOK) // goes on by what it knows
		await(t, "keys are no longer taken on trust", 6*time.Second, func() bool {
			status, _ := w.call(w.daemons[0].Caller, "/file/", w.id(), "other-key")
			return status == http.StatusServiceUnavailable
		})
		w.store.SetDown(false)
		await(t, "served again everywhere", 4*time.Second, func() bool {
			for _, d := range w.daemons {
				if status, _ := w.call(d.Caller, "/file/", w.id(), "other-key"); status != http.StatusOK {
					return false
				}
			}
			return true
		})
	})

	t.Run("a daemon leaves", func(t *testing.T) {
		is := is.New(t)
		var late sync.WaitGroup
		late.Go(func() {
			status, body := w.call(w.daemons[2].Caller, "/talk/", "leaving", "other-key")
			is.Equal(status, http.StatusOK) // what is in progress ends whole
			is.Equal(body, stream(30))
		})
		time.Sleep(100 * time.Millisecond)
		w.stops[2]()
		await(t, "the daemon is no longer named", 3*time.Second, func() bool { return len(w.addresses(0)) == 2 })
		late.Wait()
	})
	for _, e := range w.engines {
		for id, n := range e.Ran() {
			is.True(n == 1 || strings.HasPrefix(id, "s")) // only streams that went on ran at two runners
		}
	}
}
