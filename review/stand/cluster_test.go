//go:build review

package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"clementinehead.example/chead/simul"
)

const (
	daemons    = 3
	startLimit = 15 * time.Second
	pollPause  = 50 * time.Millisecond
	settleTime = 2 * time.Second // from when all daemons are ready to the first step of a case
	endLimit   = 9 * time.Second // between SIGTERM and SIGKILL
)

// Bounds, as in the settings of the small deployments.
const (
	revokeTime = 5 * time.Second
	applyTime  = 2 * time.Second
	drainTime  = 2 * time.Second

	evacuateTime = 5 * time.Second
)

// cluster is the system under test with its stand-ins.
type cluster struct {
	trouble bool // whether the case brings its disruption about
	rec     *record
	dir     string
	store   *simul.Store
	silent  atomic.Bool // the store answers no call
	daemons []*daemon
	runners []*runner
	servers []*http.Server
}

// daemon is a daemon's process. Its calls to the store come over a listener of its own.
type daemon struct {
	name       string
	caller     string // address for callers
	ready      string // address for readiness checks
	turnedAway atomic.Bool
	chead      string // path of the program
	settings   string // path of the settings file
	cmd        *exec.Cmd
	log        *os.File
}

// newCluster starts the store with the first configuration, two runners of the plain
// service and the daemons, and waits until all daemons are ready.
func newCluster(chead string, rec *record, trouble bool) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{trouble: trouble, rec: rec, dir: dir, store: simul.NewStore()}
	rec.note("trouble: %v", trouble)
	c.store.Put(simul.ConfigKey, simul.Config(1))
	for i := range 2 {
		if err := c.addRunner(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("zone-%d", i+1)); err != nil {
			return c, err
		}
	}
	for i := range daemons {
		if err := c.addDaemon(i, chead); err != nil {
			return c, err
		}
	}
	for _, d := range c.daemons {
		if !await(startLimit, d.isReady) {
			return c, errors.New(d.name + " is not ready")
		}
	}
	rec.note("all daemons are ready")
	time.Sleep(settleTime)
	return c, nil
}

// serve serves a handler on a free loopback port, and returns the address.
func (c *cluster) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the cluster is closed
	return listener.Addr().String(), nil
}

// serveStore passes the daemon's calls on to the store, or turns them away.
func (d *daemon) serveStore(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	})
}

// serveUnlessSilent passes calls on to the store, or leaves them without an answer.
func (c *cluster) serveUnlessSilent(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.silent.Load() {
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	})
}

// addDaemon starts a daemon with the settings that the template of the deploy file yields.
func (c *cluster) addDaemon(i int, chead string) error {
	d := &daemon{name: fmt.Sprintf("edge-%d", i+1), caller: freeAddress(), ready: freeAddress()}
	c.daemons = append(c.daemons, d)
	store, err := c.serve(d.serveStore(c.serveUnlessSilent(paged(c.store))))
	if err != nil {
		return err
	}
	settings := map[string]any{
		"id": d.name, "domain": fmt.Sprintf("zone-%d", i+1), "region": "region-1",
		"caller": d.caller, "ready": d.ready, "guide": freeAddress(), "peer": freeAddress(), "metrics": freeAddress(),
		"store": store, "revoke": revokeTime.Milliseconds(), "apply": applyTime.Milliseconds(), "grace": 8,
		"ratio": 0.2, "extra": 103, "window": 10, "cores": 0.4, "memory": 284,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, d.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if d.log, err = os.Create(filepath.Join(c.dir, d.name+".log")); err != nil {
		return err
	}
	d.chead, d.settings = chead, path
	return d.start()
}

// start starts the daemon's process.
func (d *daemon) start() error {
	d.cmd = exec.Command(d.chead, "edge")
	d.cmd.Env = append(os.Environ(), "CLEMENTINEHEAD_NODE_FILE="+d.settings)
	d.cmd.Stdout = d.log
	d.cmd.Stderr = d.log
	return d.cmd.Start()
}

// kill kills the daemon's process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
}

// isReady reports whether the daemon says that it is ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all daemons and stand-ins.
func (c *cluster) close() {
	for _, d := range c.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, d := range c.daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		kill := time.AfterFunc(endLimit, func() { _ = d.cmd.Process.Kill() })
		_ = d.cmd.Wait()
		kill.Stop()
		_ = d.log.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.rec.note("logs are in %s", c.dir)
	}
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
}

// await waits until a condition holds, and reports whether it did within a limit.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollPause) {
		if holds() {
			return true
		}
	}
	return false
}
