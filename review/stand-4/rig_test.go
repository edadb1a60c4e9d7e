//go:build review

package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clementinehead.example/chead/simul"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// readHeaderTimeout is of the stand-ins' servers.
const readHeaderTimeout = 5 * time.Second

// Trouble reports whether the case is run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Site is a small deployment.
type Site struct {
	Store   *simul.Store
	Daemons []*Daemon

	dir    string
	began  time.Time
	mu     sync.Mutex
	record *os.File
}

// New returns a site whose store holds a configuration, with its record in a file.
func New(record, config string) *Site {
	f, err := os.Create(record)
	Check(err)
	dir, err := os.MkdirTemp("", "chead-review.")
	Check(err)
	s := &Site{Store: simul.NewStore(), dir: dir, began: time.Now(), record: f}
	s.Store.Put("op/config", []byte(config))
	running.Store(s)
	endBySignal()
	return s
}

// serveStore serves the store to one daemon, at an address of its own.
func (s *Site) serveStore(d *Daemon) (address string) {
	listener := Listen()
	server := &http.Server{Handler: http.HandlerFunc(d.callStore), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// callStore passes a call on to the store, unless that turns the daemon away: then the call
// gets 503, and those that wait are cut. The store of these pages states no era.
func (d *Daemon) callStore(w http.ResponseWriter, r *http.Request) {
	if d.TurnedAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	d.site.Store.ServeHTTP(answer, r)
	if d.TurnedAway.Load() {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		if name != "Store-Era" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// running is the site of this process, whose daemons are ended with it.
var running atomic.Pointer[Site]

// Check ends the case as one that could not run if there is an error.
func Check(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if s := running.Load(); s != nil {
		s.Close()
	}
	os.Exit(NotRun)
}

// endBySignal ends the case as one that could not run when it is told to stop.
func endBySignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() { Check(fmt.Errorf("%v", <-told)) }()
}

// Listen listens at a free port of the loopback address.
func Listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Check(err)
	return l
}

// Ports below those that the system gives to connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

// Ports returns loopback addresses whose ports are free for TCP and UDP.
func Ports(n int) []string {
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		defer func() { _ = u.Close() }()
		addresses = append(addresses, address)
	}
	return addresses
}

// Now returns the time since the site began.
func (s *Site) Now() time.Duration { return time.Since(s.began) }

// Note writes a line to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Daemon is one daemon of the site.
type Daemon struct {
	Name       string
	Caller     string // address for callers
	Ready      string
	Guide      string
	Peer       string
	TurnedAway atomic.Bool // the store turns it away

	site    *Site
	file    string
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// Tries of a daemon's start, each with other ports: a port that was free may be taken since.
const (
	startTries = 5
	startTime  = 200 * time.Millisecond // after which a daemon has its ports
)

// StartDaemons starts so many daemons, each in a failure domain of its own.
func (s *Site) StartDaemons(n int) {
	for i := range n {
		d := &Daemon{Name: fmt.Sprintf("d%d", i+1), site: s}
		d.file = filepath.Join(s.dir, d.Name+".json")
		s.Daemons = append(s.Daemons, d)
		store := s.serveStore(d)
		for range startTries {
			d.configure(i, store)
			d.Start()
			if !d.endsWithin(startTime) {
				break
			}
		}
	}
}

// configure writes the daemon's settings, with ports that are free now.
func (d *Daemon) configure(i int, store string) {
	a := Ports(5)
	d.Caller, d.Ready, d.Guide, d.Peer = a[0], a[1], a[2], a[3]
	settings := map[string]any{
		"id": d.Name, "domain": fmt.Sprintf("zone-%d", i+1), "region": "region", "caller": d.Caller, "ready": d.Ready, "guide": d.Guide,
		"peer": d.Peer, "metrics": a[4], "store": store, "revoke": 5000, "apply": 2000, "grace": 8, "ratio": 0.2, "extra": 109,
		"window": 10, "cores": 0.4, "memory": 284,
	}
	data, err := json.Marshal(settings)
	Check(err)
	Check(os.WriteFile(d.file, data, 0o600))
}

// endsWithin reports whether the daemon's process ends within a time.
func (d *Daemon) endsWithin(limit time.Duration) bool {
	select {
	case <-d.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Start starts the daemon's process, by the command of the deploy file.
func (d *Daemon) Start() {
	out, err := os.OpenFile(filepath.Join(d.site.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Check(err)
	c := exec.Command("target/chead", "edge")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEHEAD_NODE_FILE=" + d.file}
	c.Stdout, c.Stderr = out, out
	Check(c.Start())
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = c, ended
	d.mu.Unlock()
	d.site.Note("daemon %s started, process %d, callers %s", d.Name, c.Process.Pid, d.Caller)
	go func() {
		err := c.Wait()
		_ = out.Close()
		d.site.Note("daemon %s ended: %v", d.Name, err)
		close(ended)
	}()
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.site.Note("%v to daemon %s", sig, d.Name)
	_ = d.process.Process.Signal(sig)
}

// Await waits for the end of the daemon's process.
func (d *Daemon) Await() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	<-ended
}

// kill ends the daemon's process at once, if it was started.
func (d *Daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill()
	<-d.ended
}

// IsReady reports whether the daemon's readiness check succeeds.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + d.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready, and ends the case if they are not in time.
func (s *Site) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range s.Daemons {
			if d.IsReady() {
				ready++
			}
		}
		if ready == len(s.Daemons) {
			return
		}
		if time.Now().After(end) {
			Check(fmt.Errorf("%d of %d daemons are ready", ready, len(s.Daemons)))
		}
	}
}

// Close ends all processes that the site started, and removes its files.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are in", s.dir)
	}
}

// Request is one request of a client.
type Request struct {
	Daemon   *Daemon
	Method   string
	Path     string
	ID       string
	Key      string // API key, none if empty
	Body     string
	Deadline time.Duration
	Leave    time.Duration // after which the client closes its connection, 0 for its deadline
}

// Answer is what the client got.
type Answer struct {
	Status    int // 0 for none
	Signature string
	Body      string
	Err       error
	Took      time.Duration
}

// Send sends a request on a connection of its own, and records it with its answer.
func Send(q Request) Answer {
	s := q.Daemon.site
	s.Note("client sends %s to %s: %s %s, key %q", q.ID, q.Daemon.Name, q.Method, q.Path, q.Key)
	a := send(q)
	s.Note("client got for %s: %s", q.ID, a.Text())
	return a
}

// send does the work of Send.
func send(q Request) Answer {
	began := time.Now()
	limit := q.Deadline
	if q.Leave > 0 {
		limit = q.Leave
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequest(q.Method, "http://"+q.Daemon.Caller+q.Path, strings.NewReader(q.Body))
	Check(err)
	r.Host = "front.example"
	r.Header.Set("X-Request-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Key != "" {
		r.Header.Set("Authorization", "Bearer "+q.Key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	return Answer{Status: resp.StatusCode, Signature: resp.Header.Get("X-Server-Signature"), Body: body.String(), Err: err, Took: time.Since(began)}
}

// Text returns the answer for the record.
func (a Answer) Text() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer after %d ms (%v)", a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d after %d ms, signature %q, error %v", a.Status, a.Took.Milliseconds(), a.Signature, a.Err)
}
