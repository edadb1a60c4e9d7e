package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const grace = 8 * time.Second // from SIGTERM to SIGKILL

// daemon is a process of the project, started as the deploy file says.
type daemon struct {
	name    string
	dir     string
	caller  string
	ready   string
	record  *record
	command *exec.Cmd
	done    chan struct{}
}

// newDaemon writes the settings of a daemon, as the template of the deploy file gives them.
func newDaemon(rec *record, dir, name, zone, store string) (*daemon, error) {
	d := &daemon{name: name, dir: dir, record: rec, caller: freeAddress(), ready: freeAddress()}
	settings := map[string]any{
		"id": name, "domain": zone, "region": "region-a", "caller": d.caller, "ready": d.ready, "guide": freeAddress(),
		"peer": freeAddress(), "metrics": freeAddress(), "store": store,
		"revoke": 5000, "apply": 2000, "grace": 8, "ratio": 0.2, "extra": 109, "window": 10, "cores": 0.4, "memory": 284,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.settings(), data, 0o644)
}

func (d *daemon) settings() string { return filepath.Join(d.dir, d.name+".json") }

// start starts the process and waits until it is ready.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		return err
	}
	d.command = exec.Command(filepath.Join(root, "target/chead"), "edge")
	d.command.Dir = root
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEHEAD_NODE_FILE=" + d.settings()}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	command, done := d.command, d.done
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	d.record.note("daemon %s starts", d.name)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + d.ready + "/api/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.record.note("daemon %s is ready", d.name)
				return nil
			}
		}
	}
	return fmt.Errorf("daemon %s isn't ready", d.name)
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (d *daemon) stop() {
	d.record.note("daemon %s gets SIGTERM", d.name)
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(grace):
		d.kill()
	}
	d.record.note("daemon %s has ended", d.name)
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.done
}

// port is the last port that freeAddress gave out. Each case has a block of ports of its own,
// below the range from which the system takes those of outgoing connections.
var port int

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() string {
	for {
		port++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packet, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			_ = packet.Close()
			return address
		}
	}
}
