package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"clementinehead.example/chead/simul"
)

// Options configures a soak.
type Options struct {
	Seed    uint64
	Dir     string // directory for logs and settings files
	Chead   string // path of chead, the daemons' program
	Chfake  string // path of chfake, the endpoints' program
	Daemons int
	Runners int           // number of endpoints; the last two serve plain calls, the others a model
	Length  time.Duration // time during which faults are injected
}

const (
	grace        = 8 * time.Second // between SIGTERM and SIGKILL
	revoke       = 5 * time.Second // time until a removed key is refused
	apply        = 2 * time.Second // time until a new configuration is in force
	applyLimit   = apply + 500*time.Millisecond
	recovery     = 12 * time.Second        // time from the last fault until all requests are served
	entryTTL     = 1500 * time.Millisecond // time after which the store removes a dead runner
	startLimit   = 15 * time.Second        // time until the system serves
	events       = 20                      // number of events of a stream
	settingsMode = 0o600
)

// cluster is the system under test: daemons and runners as processes, the store
// in this process, and a Path in front of each.
type cluster struct {
	options Options
	store   *simul.Store
	server  *http.Server
	began   time.Time
	daemons []*daemon
	runners []*runner

	mu      sync.Mutex
	version int
	changes map[int]time.Time // time of each configuration, by version
	runs    map[string]int    // by request id, over all runners
	faults  []faultSpan
}

// daemon is a daemon process with its paths.
type daemon struct {
	proc
	caller  string // address for callers, which the directory lists
	guide   string
	callers *Path // from callers
	store   *Path
}

// runner is an endpoint process with its path.
type runner struct {
	proc
	path *Path
}

// faultSpan is a step with the time during which it was in force; to is zero
// until it ends.
type faultSpan struct {
	step     Step
	from, to time.Time
}

// newCluster starts the store, the runners and the daemons. After an error, the
// cluster has to be closed if it is not nil.
func newCluster(o Options) (*cluster, error) {
	c := &cluster{options: o, store: simul.NewStore(), changes: map[int]time.Time{}, runs: map[string]int{}}
	c.change()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Start, Err: err}
	}
	c.server = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(listener) }() // ends when the cluster is closed
	store := listener.Addr().String()
	for i := range o.Runners {
		if err := c.addRunner(i, store); err != nil {
			return c, err
		}
	}
	for i := range o.Daemons {
		if err := c.addDaemon(i, store); err != nil {
			return c, err
		}
	}
	return c, nil
}

// change writes the next configuration.
func (c *cluster) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.store.Put(simul.ConfigKey, simul.Config(c.version))
	c.changes[c.version] = time.Now()
}

// createLog creates a log file.
func (c *cluster) createLog(name string) (*os.File, error) {
	return os.Create(filepath.Join(c.options.Dir, name+".log"))
}

// plainRunners is the number of runners that serve plain calls.
const plainRunners = 2

// addRunner starts the runner with index i.
func (c *cluster) addRunner(i int, store string) error {
	name := fmt.Sprintf("r%d", i)
	log, err := c.createLog(name)
	if err != nil {
		return &Error{Op: "log", Kind: Start, Err: err}
	}
	listen := simul.Address()
	path, err := NewPath(listen)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	service, fabric, eventTime := "engines", "f1", "20ms"
	if i >= c.options.Runners-plainRunners {
		service, fabric, eventTime = "plain", "", "100ms"
	}
	r := &runner{path: path, proc: proc{name: name, log: log, onLine: c.countRun, command: []string{
		c.options.Chfake, "runner", "--id", name, "--listen", listen, "--address", path.Address(), "--store", store, "--service", service,
		"--domain", "north", "--fabric", fabric, "--slots", "8", "--join", "50ms", "--event", eventTime, "--events", fmt.Sprint(events), "--trace",
	}}}
	c.runners = append(c.runners, r)
	return r.start()
}

// countRun counts a run if a line of a runner's output reports one.
func (c *cluster) countRun(line string) {
	id, found := strings.CutPrefix(line, "ran ")
	if !found {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// addDaemon starts the daemon with index i.
func (c *cluster) addDaemon(i int, store string) error {
	name := fmt.Sprintf("d%d", i)
	log, err := c.createLog(name)
	if err != nil {
		return &Error{Op: "log", Kind: Start, Err: err}
	}
	d := &daemon{caller: simul.Address(), guide: simul.Address()}
	d.store, err = NewPath(store)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	d.callers, err = NewPath(d.caller)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	settings, err := json.Marshal(map[string]any{
		"id": name, "domain": "north", "region": "r", "caller": d.caller, "ready": simul.Address(), "guide": d.guide, "peer": simul.Address(),
		"store": d.store.Address(), "revoke": revoke.Milliseconds(), "apply": apply.Milliseconds(), "grace": grace.Seconds(), "ratio": 0.2, "extra": 100, "window": 10, "memory": 284,
	})
	if err != nil {
		return &Error{Op: "settings", Kind: Start, Err: err}
	}
	path := filepath.Join(c.options.Dir, name+".json")
	if err := os.WriteFile(path, settings, settingsMode); err != nil {
		return &Error{Op: "settings", Kind: Start, Err: err}
	}
	d.proc = proc{name: name, log: log, command: []string{c.options.Chead, "edge", "--settings", path}}
	c.daemons = append(c.daemons, d)
	return d.start()
}

// ready waits until all daemons are listed and streams are served.
func (c *cluster) ready(caller *client) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(caller.addresses()) < c.options.Daemons {
			continue
		}
		if caller.sendStream(c.daemons[0]).complete() {
			return nil
		}
	}
	return &Error{Op: "start system", Kind: Never, Err: errors.New("no stream was served")}
}

// close ends all processes, paths and the store.
func (c *cluster) close() {
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.awaitEnd(time.Second)
		d.callers.Close()
		d.store.Close()
		_ = d.log.Close()
	}
	for _, r := range c.runners {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.awaitEnd(time.Second)
		r.path.Close()
		_ = r.log.Close()
	}
	_ = c.server.Close()
}
