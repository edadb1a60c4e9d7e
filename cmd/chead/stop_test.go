package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/simul"
)

const stopConfig = `{"version":1,"routes":[
 {"name":"once","host":"front.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":60000,"target_latency_ms":500,"service":"plain","max_attempts":1}],
 "services":[{"name":"plain","health_path":"/healthz","max_connections":50}],
 "limits":{"max_body_bytes":1000},"tenants":[{"name":"guild","api_keys":["good-key"]}]}`

// The grace period that the settings file states at SIGTERM holds, and signals that
// follow change nothing: the request in progress is answered, its line is in the log,
// and the process ends by itself.
func TestStopKeepsTheGracePeriodOfTheFile(t *testing.T) {
	is := is.New(t)
	store := simul.NewStore()
	store.Put("op/config", []byte(stopConfig))
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	defer storeServer.CloseClientConnections()
	running := make(chan string, 1)
	var runner *simul.Runner
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { runner.ServeHTTP(w, r) }))
	runner = simul.NewRunner(simul.RunnerOptions{
		ID: "p0", Service: "plain", Address: endpoint.Listener.Addr().String(), Domain: "north", Slots: 8, Event: time.Minute,
		PutEntry: store.Put, OnRun: func(id string) { running <- id },
	})
	runner.Publish()
	var settings map[string]any
	is.NoErr(json.Unmarshal(settingsJSON(t, 5000), &settings))
	settings["store"] = storeServer.Listener.Addr().String()
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(grace float64) {
		settings["grace"] = grace
		data, err := json.Marshal(settings)
		is.NoErr(err)
		is.NoErr(os.WriteFile(path, data, 0o600))
	}
	write(60)
	cmd, output := start(t, "edge", path)
	caller := settings["caller"].(string)
	status := make(chan int, 1)
	await(t, "ready", func() bool {
		response, err := http.Get("http://" + settings["ready"].(string) + "/api/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	go func() {
		call := simul.Call{Address: caller, Path: "/once/x", ID: "passed", Key: "good-key", Deadline: time.Minute}
		r, err := call.Request(context.Background())
		if err != nil {
			t.Error(err)
			return
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	await(t, "the request runs", func() bool { return len(running) == 1 })

	const grace = 2 * time.Second
	write(grace.Seconds())
	began := time.Now()
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(grace / 4)
	write(grace.Seconds() / 10)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(grace-time.Since(began), func() { _ = cmd.Process.Kill() })
	is.NoErr(cmd.Wait())
	kill.Stop()
	is.Equal(<-status, http.StatusBadGateway)
	is.True(strings.Contains(output(), `"msg":"request refused","daemon":"d","id":"passed"`))
	is.True(strings.Contains(output(), `"msg":"daemon stops"`))
}
