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

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/simul"
)

// buildProgram builds chead and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chead")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// settingsJSON returns settings with the given revoke time, in milliseconds.
func settingsJSON(t *testing.T, revoke int) []byte {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"id": "d", "domain": "north", "region": "r", "caller": simul.Address(), "ready": simul.Address(), "guide": simul.Address(),
		"peer": simul.Address(), "store": simul.Address(), "revoke": revoke, "apply": 2000, "grace": 8, "ratio": 0.2, "extra": 100, "window": 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// outputReader returns a function that reads the output file of a process, also
// while the process runs.
func outputReader(t *testing.T, path string) func() string {
	t.Helper()
	return func() string {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
}

// await waits up to 10 s for a condition and fails the test if it does not hold by
// then.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

// start starts a daemon by "chead edge" or "chead serve" with its output in a file. It
// returns the command and a function that reads the output.
func start(t *testing.T, command, settingsPath string) (*exec.Cmd, func() string) {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(buildProgram(t), command, "--settings", settingsPath)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = file.Close()
	})
	return cmd, outputReader(t, log)
}

// A SIGHUP that arrives while the settings are still being read must not end the
// daemon. It did so before the handler was set up first of all (found by soak, seed
// 102).
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	fifo := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(syscall.Mkfifo(fifo, 0o600))
	cmd, output := start(t, "edge", fifo)
	writer, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns once the daemon reads
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = writer.Write(settingsJSON(t, 5000))
	is.NoErr(err)
	is.NoErr(writer.Close())
	await(t, "start", func() bool { return strings.Contains(output(), "daemon starts") })
}

// Valid settings are applied after SIGHUP or a change of the file. Invalid ones are
// refused and change nothing.
func TestSettingsReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, settingsJSON(t, 5000), 0o600))
	cmd, output := start(t, "edge", path)
	await(t, "start", func() bool { return strings.Contains(output(), "daemon starts") })
	is.NoErr(os.WriteFile(path, []byte("{"), 0o600))
	await(t, "bad settings refused", func() bool { return strings.Contains(output(), "settings refused") })
	is.NoErr(os.WriteFile(path, settingsJSON(t, 7000), 0o600))
	await(t, "a change of the file", func() bool { return strings.Contains(output(), `"revoke":7000`) })
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	await(t, "a signal", func() bool { return strings.Contains(output(), `"cause":"signal"`) })
}

// A SIGHUP must not end "chead serve" at once, with the requests in progress.
func TestHangupOfServe(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	store := "http://" + simul.Address()
	settings, err := json.Marshal(conf.Settings{
		ID: "d", Domain: "north", Region: "r", Caller: simul.Address(), Peer: simul.Address(), Operator: simul.Address(),
		Store: store, Platform: store,
	})
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, settings, 0o600))
	cmd, output := start(t, "serve", path)
	await(t, "start", func() bool { return strings.Contains(output(), "daemon starts") })
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	await(t, "a graceful shutdown", func() bool { return strings.Contains(output(), "interface shutting down") })
}
