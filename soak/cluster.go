package soak

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
	Old     string // path of another build of it, which some daemons run; empty for none
	Chfake  string // path of chfake, the endpoints' program
	Profile Profile
	Daemons int
	Runners int           // number of endpoints; the last ones, at least two, serve plain calls, the others a model
	Length  time.Duration // time during which faults are injected
}

const (
	grace         = 8 * time.Second // between SIGTERM and SIGKILL
	revoke        = 5 * time.Second // time until a removed key is refused
	apply         = 2 * time.Second // time until a new configuration is in force
	applyLimit    = apply + 500*time.Millisecond
	recovery      = 12 * time.Second        // time from the last fault until all requests are served
	entryTTL      = 1500 * time.Millisecond // time after which the store removes a dead runner
	startLimit    = 15 * time.Second        // time until the system serves, and startLimitPer more for each process
	startLimitPer = 200 * time.Millisecond
)

// answerLimits are the most changes in an answer of the store to a watch, by seed; 0 for all.
var answerLimits = []int{0, 1, 4}

// cluster is the system under test: daemons and runners as processes, the store
// in this process, and a Path in front of each.
type cluster struct {
	options Options
	traits  traits
	store   *simul.Store
	servers []*http.Server // of the store: one for the runners, and one for each daemon
	log     *os.File       // of the soak itself
	began   time.Time
	daemons []*daemon
	runners []*runner

	mu         sync.Mutex
	version    int
	changes    map[int]time.Time      // time of each configuration, by version
	acts       map[string][]simul.Act // of the runners, by request id
	given      map[string]simul.Act   // answers of the runners, by signature
	faults     []faultSpan
	crashes    []time.Time // when endpoints ended at a prompt
	limited    int         // spans in which an endpoint stated a limit
	upgraded   int         // daemons whose old build was replaced, by the profile Builds
	retried    int         // most retries of a service within the budget's window
	compared   int         // cuts of daemons from all endpoints that were compared with the others
	violations []string    // broken promises that were seen during the load
}

// daemon is a daemon process with its paths.
type daemon struct {
	proc
	index    int
	present  bool // the profile Builds has replaced the old build by the present one
	settings map[string]any
	ready    string // address for readiness checks
	caller   string // address for callers, which the directory lists
	guide    string
	callers  *Path // from callers
	store    *Path
	access   *simul.Access // to the store, for this daemon
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
	c := &cluster{options: o, traits: o.Profile.traits(), store: simul.NewStore(), changes: map[int]time.Time{}, acts: map[string][]simul.Act{}, given: map[string]simul.Act{}}
	c.store.SetAnswerLimit(answerLimits[o.Seed%uint64(len(answerLimits))])
	c.change()
	log, err := c.createLog("soak")
	if err != nil {
		return nil, &Error{Op: "log", Kind: Start, Err: err}
	}
	c.log = log
	store, err := c.serve(c.store)
	if err != nil {
		return nil, err
	}
	for i := range o.Runners {
		if err := c.addRunner(i, store); err != nil {
			return c, err
		}
	}
	for i := range o.Daemons {
		if err := c.addDaemon(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// serve serves the store to some of its callers, until the cluster is closed, and returns
// the address.
func (c *cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", &Error{Op: "listen", Kind: Start, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
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

// ready waits until all daemons are listed and streams begin. Whether they are whole is
// checked later.
func (c *cluster) ready(caller *client) error {
	limit := startLimit + time.Duration(c.options.Daemons+c.options.Runners)*startLimitPer
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(caller.addresses()) < c.options.Daemons {
			continue
		}
		if caller.sendStream(c.daemons[0]).status == http.StatusOK {
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
	for _, server := range c.servers {
		_ = server.Close()
	}
	_ = c.log.Close()
}
