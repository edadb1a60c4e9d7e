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

	"clementinehead.example/chead/simul"
	"clementinehead.example/chead/soak"
)

// cluster is a deployment on loopback: a simulated store, simulated runners, daemons.
type cluster struct {
	store       *simul.Store
	storeServer *httptest.Server
	servers     map[string]*httptest.Server
	runners     map[string]*simul.Runner
	daemons     []Settings
	started     []*Daemon // by the same index
	cancels     []context.CancelFunc
	running     sync.WaitGroup
	lastID      int
	mu          sync.Mutex
	came        map[string][]time.Time // requests by runner
	paths       []*soak.Path           // to the runners, if they are reached by paths

	throughPaths    bool
	withoutAccounts bool
}

// addPath makes a path to an address and returns its own.
func (c *cluster) addPath(address string) string {
	path, err := soak.NewPath(address)
	if err != nil {
		panic(err)
	}
	c.paths = append(c.paths, path)
	return path.Address()
}

// cut cuts a daemon off from all runners, or with soak.Pass ends that.
func (c *cluster) cut(daemon int, cut soak.Cut) {
	for _, path := range c.paths {
		path.SetFrom(daemon, cut, c.daemons[daemon].Source)
	}
}

// noteAct records the arrival of a request at a runner.
func (c *cluster) noteAct(a simul.Act) {
	if a.Deed != simul.Came {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.came[a.Runner] = append(c.came[a.Runner], a.Time())
}

// nextID returns a new request id.
func (c *cluster) nextID() string {
	c.lastID++
	return "id-" + strconv.Itoa(c.lastID)
}

const clusterConfig = `{"version":%d,"routes":[
 {"name":"talk","host":"front.example","path_prefix":"/talk/","type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"engines","max_attempts":2,"resumable":true,"target_gap_ms":300},
 {"name":"file","host":"front.example","path_prefix":"/file/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1}],
 "services":[{"name":"engines","health_path":"/healthz","max_connections":100,"engine":{"slots":8,"stride":1,"step_ms":5,"read_per_s":45000,"loads_per_s":5,"loads_at_once":7,"cached_prefixes":1,"report_lag_ms":50,"form_ms":50,
  "models":[{"name":"m","size":2,"traffic_share":1,"pace":1,"load_s":1,"warm_s":0.1}]}},
  {"name":"plain","health_path":"/healthz","max_connections":100}],
 "limits":{"max_body_bytes":100000}` + clusterAccounts + `}`

// clusterAccounts is the list of client accounts in clusterConfig.
const clusterAccounts = `,"tenants":[{"name":"guild","api_keys":[%s]}]`

func (c *cluster) configure(version int, keys ...string) {
	c.store.Put("op/config", fmt.Appendf(nil, clusterConfig, version, `"`+strings.Join(keys, `","`)+`"`))
}

// testLog logs to the file named by EDGE_LOG, if any.
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

func newCluster(t *testing.T, engines, daemons int) *cluster {
	t.Helper()
	return startCluster(t, &cluster{}, engines, daemons)
}

// startCluster starts a cluster with so many model runners, a plain one and daemons.
func startCluster(t *testing.T, c *cluster, engines, daemons int) *cluster {
	t.Helper()
	*c = cluster{throughPaths: c.throughPaths, withoutAccounts: c.withoutAccounts, store: simul.NewStore(), servers: map[string]*httptest.Server{}, runners: map[string]*simul.Runner{}, came: map[string][]time.Time{}}
	c.storeServer = httptest.NewServer(c.store)
	if c.withoutAccounts {
		c.putAccounts(1, "")
	} else {
		c.configure(1, "good-key")
	}
	for i := range engines {
		c.startRunner(fmt.Sprintf("e%d", i), "engines", "f1")
	}
	c.startRunner("p0", "plain", "")
	for i := range daemons {
		c.startDaemon(t, i)
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) startRunner(id, service, fabric string) {
	var r *simul.Runner
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) { r.ServeHTTP(out, q) }))
	address := server.Listener.Addr().String()
	if c.throughPaths {
		address = c.addPath(address)
	}
	r = simul.NewRunner(simul.RunnerOptions{
		ID: id, Service: service, Address: address, Domain: "north", Fabric: fabric, Slots: 8,
		Join: 50 * time.Millisecond, Event: 20 * time.Millisecond, Events: 30, PutEntry: c.store.Put, OnAct: c.noteAct,
	})
	c.servers[id] = server
	c.runners[id] = r
	r.Publish()
}

func (c *cluster) startDaemon(t *testing.T, i int) {
	t.Helper()
	s := Settings{
		ID: "d" + strconv.Itoa(i), Domain: "north", Region: "r", Caller: simul.Address(), Ready: simul.Address(), Guide: simul.Address(), Peer: simul.Address(),
		Store: c.storeServer.Listener.Addr().String(), Revoke: 5000, Apply: 2000, Grace: 6, Ratio: 0.2, Extra: 100, Window: 10,
		Source: fmt.Sprintf("127.0.1.%d", i+1),
	}
	d, err := New(Options{Settings: s, Log: testLog(t).WithValues("daemon", s.ID), Registry: prometheus.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.daemons = append(c.daemons, s)
	c.started = append(c.started, d)
	c.cancels = append(c.cancels, stop)
	c.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			t.Errorf("daemon %s: %v", s.ID, err)
		}
	})
}

func (c *cluster) close() {
	for _, stop := range c.cancels {
		stop()
	}
	c.running.Wait()
	c.storeServer.CloseClientConnections()
	c.storeServer.Close()
	for _, path := range c.paths {
		path.Close()
	}
	for _, r := range c.servers {
		r.CloseClientConnections()
		r.Close()
	}
}

// addresses requests the addresses to connect to from a daemon.
func (c *cluster) addresses(d int) []string {
	response, err := http.Get("http://" + c.daemons[d].Guide + "/api/resolve?name=front.example")
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

// await waits until a condition holds, and fails the test after limit.
func await(t *testing.T, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// call sends a request and returns the status and the body. The status is 0 if there
// was no complete answer.
func (c *cluster) call(address, path, id, key string) (int, string) {
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

// awaitRefused waits until all daemons refuse a key.
func (c *cluster) awaitRefused(t *testing.T, key string) {
	t.Helper()
	await(t, "the key is refused everywhere", 5*time.Second, func() bool { return c.statuses(key, http.StatusUnauthorized) })
}

func streamBody(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token\n\n", i)
	}
	return b.String()
}

// TestWholePath runs three daemons through a whole deployment: groups form, callers
// get addresses, streams and plain calls are served. Then a runner fails while it
// serves streams, which must continue on another one; a key is revoked; the store is
// unavailable for a while; a daemon shuts down with a stream in progress.
func TestWholePath(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 6, 3)
	await(t, "all daemons are listed by the guide", 10*time.Second, func() bool { return len(c.addresses(0)) == 3 })
	await(t, "a stream is served", 10*time.Second, func() bool {
		status, body := c.call(c.daemons[0].Caller, "/talk/", c.nextID(), "good-key")
		return status == http.StatusOK && body == streamBody(30)
	})
	await(t, "all groups serve", 10*time.Second, func() bool {
		_, _ = c.call(c.daemons[c.lastID%3].Caller, "/talk/", c.nextID(), "good-key")
		serving := 0
		for id, e := range c.runners {
			if id != "p0" && len(e.Runs()) > 0 {
				serving++
			}
		}
		return serving == 3
	})
	status, body := c.call(c.daemons[1].Caller, "/file/", "once", "good-key")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done by p0")

	t.Run("runner fails during streams", func(t *testing.T) {
		is := is.New(t)
		var calls sync.WaitGroup
		bodies := make([]string, 12)
		for i := range bodies {
			calls.Go(func() { _, bodies[i] = c.call(c.daemons[i%3].Caller, "/talk/", "s"+strconv.Itoa(i), "good-key") })
		}
		time.Sleep(200 * time.Millisecond)
		victim := ""
		for id, e := range c.runners {
			for run := range e.Runs() {
				if strings.HasPrefix(run, "s") {
					victim = id
				}
			}
		}
		is.True(victim != "")
		c.store.Remove("servers/" + victim)
		c.servers[victim].Listener.Close()
		c.servers[victim].CloseClientConnections()
		calls.Wait()
		for _, b := range bodies {
			is.Equal(b, streamBody(30)) // complete, each event once
		}
	})

	t.Run("key is revoked", func(t *testing.T) {
		c.configure(2, "other-key")
		c.awaitRefused(t, "good-key")
	})

	t.Run("store is unavailable", func(t *testing.T) {
		is := is.New(t)
		c.store.SetDown(true)
		status, _ := c.call(c.daemons[0].Caller, "/file/", "down", "other-key")
		is.Equal(status, http.StatusOK) // served by the last snapshot
		await(t, "keys are no longer accepted on an old snapshot", 6*time.Second, func() bool {
			status, _ := c.call(c.daemons[0].Caller, "/file/", c.nextID(), "other-key")
			return status == http.StatusServiceUnavailable
		})
		c.store.SetDown(false)
		await(t, "served again everywhere", 4*time.Second, func() bool {
			for _, d := range c.daemons {
				if status, _ := c.call(d.Caller, "/file/", c.nextID(), "other-key"); status != http.StatusOK {
					return false
				}
			}
			return true
		})
	})

	t.Run("daemon shuts down", func(t *testing.T) {
		is := is.New(t)
		var inProgress sync.WaitGroup
		inProgress.Go(func() {
			status, body := c.call(c.daemons[2].Caller, "/talk/", "leaving", "other-key")
			is.Equal(status, http.StatusOK) // a stream in progress is completed
			is.Equal(body, streamBody(30))
		})
		time.Sleep(100 * time.Millisecond)
		c.cancels[2]()
		await(t, "the daemon is no longer listed by the guide", 3*time.Second, func() bool { return len(c.addresses(0)) == 2 })
		inProgress.Wait()
	})
	for _, e := range c.runners {
		for id, n := range e.Runs() {
			is.True(n == 1 || strings.HasPrefix(id, "s")) // no request ran twice on a runner, except perhaps the streams sent while a runner failed
		}
	}
}
