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

	"clementinehead.example/chead/mimic"
)

// Options describe a soak.
type Options struct {
	Seed    uint64
	Dir     string // for logs and settings
	Edge    string // the daemon's program, chead
	Fake    string // the endpoints' program, chfake
	Daemons int
	Runners int           // the last two serve plain calls, the others a model
	Length  time.Duration // of the load under faults
}

const (
	grace        = 8 * time.Second // between SIGTERM and SIGKILL
	revoke       = 5 * time.Second
	apply        = 2 * time.Second // of a new configuration
	inForce      = apply + 500*time.Millisecond
	recovery     = 12 * time.Second
	entryLapse   = 1500 * time.Millisecond // of a dead runner
	startLimit   = 15 * time.Second
	events       = 20 // of a stream
	settingsMode = 0o600
)

// world is the system under test: daemons and runners as processes, the store in
// this one, and a path before each.
type world struct {
	options Options
	store   *mimic.Store
	server  *http.Server
	began   time.Time
	daemons []*daemon
	runners []*runner

	mu      sync.Mutex
	version int
	changes map[int]time.Time // acknowledged configurations
	runs    map[string]int    // by request's id, over all runners
	faults  []fault
}

// daemon is a daemon with its paths.
type daemon struct {
	proc
	caller string // its own address, which the directory names
	guide  string
	in     *Path // of callers
	store  *Path
}

type runner struct {
	proc
	path *Path
}

// fault is a time in which something was disturbed.
type fault struct {
	step     Step
	from, to time.Time
}

func newWorld(o Options) (*world, error) {
	w := &world{options: o, store: mimic.NewStore(), changes: map[int]time.Time{}, runs: map[string]int{}}
	w.change()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Start, Err: err}
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }() // ends with close
	at := listener.Addr().String()
	for i := range o.Runners {
		if err := w.addRunner(i, at); err != nil {
			return w, err
		}
	}
	for i := range o.Daemons {
		if err := w.addDaemon(i, at); err != nil {
			return w, err
		}
	}
	return w, nil
}

// change writes the next configuration.
func (w *world) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put(mimic.ConfigKey, mimic.Config(w.version))
	w.changes[w.version] = time.Now()
}

func (w *world) file(name string) (*os.File, error) {
	return os.Create(filepath.Join(w.options.Dir, name+".log"))
}

// plain is how many runners serve plain calls.
const plain = 2

// addRunner starts a runner.
func (w *world) addRunner(i int, store string) error {
	name := fmt.Sprintf("r%d", i)
	log, err := w.file(name)
	if err != nil {
		return &Error{Op: "log", Kind: Start, Err: err}
	}
	listen := mimic.Address()
	path, err := NewPath(listen)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	service, fabric, takes := "engines", "f1", "20ms"
	if i >= w.options.Runners-plain {
		service, fabric, takes = "plain", "", "100ms"
	}
	r := &runner{path: path, proc: proc{name: name, log: log, line: w.ran, command: []string{
		w.options.Fake, "runner", "--id", name, "--listen", listen, "--address", path.Address(), "--store", store, "--service", service,
		"--domain", "north", "--fabric", fabric, "--slots", "8", "--join", "50ms", "--event", takes, "--events", fmt.Sprint(events), "--trace",
	}}}
	w.runners = append(w.runners, r)
	return r.start()
}

// ran takes a line of a runner's output.
func (w *world) ran(line string) {
	id, found := strings.CutPrefix(line, "ran ")
	if !found {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

func (w *world) addDaemon(i int, store string) error {
	name := fmt.Sprintf("d%d", i)
	log, err := w.file(name)
	if err != nil {
		return &Error{Op: "log", Kind: Start, Err: err}
	}
	d := &daemon{caller: mimic.Address(), guide: mimic.Address()}
	d.store, err = NewPath(store)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	d.in, err = NewPath(d.caller)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	settings, err := json.Marshal(map[string]any{
		"id": name, "domain": "north", "region": "r", "caller": d.caller, "ready": mimic.Address(), "guide": d.guide, "peer": mimic.Address(),
		"store": d.store.Address(), "revoke": revoke.Milliseconds(), "apply": apply.Milliseconds(), "grace": grace.Seconds(), "ratio": 0.2, "extra": 100, "window": 10, "memory": 284,
	})
	if err != nil {
		return &Error{Op: "settings", Kind: Start, Err: err}
	}
	path := filepath.Join(w.options.Dir, name+".json")
	if err := os.WriteFile(path, settings, settingsMode); err != nil {
		return &Error{Op: "settings", Kind: Start, Err: err}
	}
	d.proc = proc{name: name, log: log, command: []string{w.options.Edge, "edge", "--settings", path}}
	w.daemons = append(w.daemons, d)
	return d.start()
}

// ready waits until all daemons are named and streams are served.
func (w *world) ready(c *client) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(c.addresses()) < w.options.Daemons {
			continue
		}
		if c.talk(w.daemons[0]).whole() {
			return nil
		}
	}
	return &Error{Op: "start system", Kind: Never, Err: errors.New("no stream was served")}
}

// close ends all that was started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.end(time.Second)
		d.in.Close()
		d.store.Close()
		_ = d.log.Close()
	}
	for _, r := range w.runners {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.end(time.Second)
		r.path.Close()
		_ = r.log.Close()
	}
	_ = w.server.Close()
}
