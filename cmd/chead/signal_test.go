package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/mimic"
)

// program builds chead and returns its path.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chead")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

func settings(t *testing.T, revoke int) []byte {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"id": "d", "domain": "north", "region": "r", "caller": mimic.Address(), "ready": mimic.Address(), "guide": mimic.Address(),
		"peer": mimic.Address(), "store": mimic.Address(), "revoke": revoke, "apply": 2000, "grace": 8, "ratio": 0.2, "extra": 100, "window": 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// output is a process's output, which may be read while it runs.
func output(t *testing.T, path string) func() string {
	t.Helper()
	return func() string {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

// start starts the program with its output in a file.
func start(t *testing.T, at string) (*exec.Cmd, func() string) {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program(t), "edge", "--settings", at)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = file.Close()
	})
	return cmd, output(t, log)
}

// SIGHUP while the settings are still read: the daemon goes on. It ended it before
// the handler was the first thing to be set up (soak, seed 102).
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	fifo := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(syscall.Mkfifo(fifo, 0o600))
	cmd, text := start(t, fifo)
	writer, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns once the daemon reads
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = writer.Write(settings(t, 5000))
	is.NoErr(err)
	is.NoErr(writer.Close())
	await(t, "start", func() bool { return strings.Contains(text(), "daemon starts") })
}

// Settings that can be used hold after a signal or a change of the file; others
// change nothing.
func TestSettingsAreFollowed(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, settings(t, 5000), 0o600))
	cmd, text := start(t, path)
	await(t, "start", func() bool { return strings.Contains(text(), "daemon starts") })
	is.NoErr(os.WriteFile(path, []byte("{"), 0o600))
	await(t, "bad settings refused", func() bool { return strings.Contains(text(), "settings refused") })
	is.NoErr(os.WriteFile(path, settings(t, 7000), 0o600))
	await(t, "a change of the file", func() bool { return strings.Contains(text(), `"revoke":7000`) })
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	await(t, "a signal", func() bool { return strings.Contains(text(), `"cause":"signal"`) })
}
