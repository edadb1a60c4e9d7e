package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is a process of the deployed program, on one machine of the deployment.
type daemon struct {
	name, zone, program, settings, log string
	caller, ready, guide, peer, metric string
	process                            *exec.Cmd
	record                             *record
}

// Ports are below the range from which the system takes those of outgoing connections, and beside
// those of the project's own tests, so that none is taken between its choice and its use. Scripts
// that run side by side take different blocks of them.
const (
	firstPort  = 11000
	blocks     = 80
	blockPorts = 70 // the first is listened at by the process that has the block
)

// ports is the block of this process.
var ports struct {
	guard net.Listener // open until the process ends
	next  int
	last  int
}

// freePort returns a loopback address with a port that is free over TCP and UDP.
func freePort() (string, error) {
	for tried := 0; ports.guard == nil && tried < blocks; tried++ {
		first := firstPort + rand.IntN(blocks)*blockPorts
		guard, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.guard, ports.next, ports.last = guard, first+1, first+blockPorts-1
		}
	}
	for ports.guard != nil && ports.next <= ports.last {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// isFree reports whether an address can be listened at over TCP and UDP.
func isFree(address string) bool {
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// newDaemon writes the settings of a daemon, as the deployment's template has them. Its
// connections come from the source, if that isn't empty.
func newDaemon(program, dir, name, zone, store, source string, r *record) (*daemon, error) {
	d := &daemon{name: name, zone: zone, program: program, record: r, settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	for _, address := range []*string{&d.caller, &d.ready, &d.guide, &d.peer, &d.metric} {
		var err error
		if *address, err = freePort(); err != nil {
			return nil, err
		}
	}
	settings := map[string]any{
		"id": name, "domain": zone, "region": "canterbury", "caller": d.caller, "ready": d.ready, "guide": d.guide,
		"peer": d.peer, "metrics": d.metric, "store": store, "revoke": 5000, "apply": 2000, "grace": 8,
		"ratio": 0.2, "extra": 103, "window": 10, "cores": 0.4, "memory": 284,
	}
	if source != "" {
		settings["source"] = source
	}
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.settings, data, 0o644)
}

// start starts the process, with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.process = exec.Command(d.program, "edge")
	d.process.Env = append(os.Environ(), "CLEMENTINEHEAD_NODE_FILE="+d.settings)
	d.process.Stdout, d.process.Stderr = log, log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.record.add("start", "%s", d.name)
	return d.process.Start()
}

// lastLine returns the last line of the daemon's log.
func (d *daemon) lastLine() string {
	data, err := os.ReadFile(d.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.record.add("kill", "%s", d.name)
	_ = d.process.Process.Kill()
	_ = d.process.Wait()
	d.process = nil
}

// awaitReady waits until all daemons accept connections at their ready address and say that
// they are ready.
func awaitReady(daemons []*daemon, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		var missing []error
		for _, d := range daemons {
			if status, _ := get("http://"+d.ready+"/api/readyz", time.Second); status != 200 {
				missing = append(missing, fmt.Errorf("%s isn't ready: %s", d.name, d.lastLine()))
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return errors.Join(missing...)
		}
	}
}
