package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"

	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/simul"
)

// readHeaderTimeout limits the time in which the headers of a request to the store or
// to a runner must arrive.
const readHeaderTimeout = 5 * time.Second

// siteCommand holds the flags of "chfake site", which simulates the store of the
// users' platform.
type siteCommand struct {
	Listen string `required:"" help:"host:port of the store."`
	Config string `required:"" type:"existingfile" help:"Configuration to hold under op/config."`
}

// Run serves the store until the process ends.
func (c siteCommand) Run() error {
	config, err := os.ReadFile(c.Config)
	if err != nil {
		return err
	}
	store := simul.NewStore()
	store.Put("op/config", config)
	server := &http.Server{Addr: c.Listen, Handler: store, ReadHeaderTimeout: readHeaderTimeout}
	return server.ListenAndServe()
}

// runnerCommand holds the flags of "chfake runner", which simulates one endpoint of the
// users' platform.
type runnerCommand struct {
	ID      string        `required:"" help:"Unique name."`
	Listen  string        `required:"" help:"host:port."`
	Address string        `help:"host:port that its entry names, where others reach it by another one."`
	Store   string        `required:"" help:"host:port of the store."`
	Service string        `required:"" help:"Service that it runs."`
	Domain  string        `required:"" help:"Failure domain."`
	Fabric  string        `help:"Fabric domain; none for a plain service."`
	Slots   int           `default:"16" help:"Requests at once."`
	Join    time.Duration `default:"200ms" help:"Time to join a group."`
	Event   time.Duration `default:"20ms" help:"Shortest time until the first event, between two events, and of a plain call."`
	Longest time.Duration `help:"Longest such time, drawn for each; as --event where it is shorter."`
	Events  int           `default:"30" help:"Events of a stream."`
	Sip     time.Duration `help:"Pause after each 64 KiB of a request's body."`
	Crash   string        `help:"Part of prompts at which the process ends."`
	Limit   float64       `help:"Requests per second that answers state as the limit, in turn with none and twice as many; 0 for none at all."`
	Period  time.Duration `default:"5s" help:"For which answers state the same limit."`
	Trace   bool          `help:"Print a line for each act (run, answer, end of either), before it."`

	simul.Faults `embed:""`
}

// Run serves the endpoint and writes its entry to the store, until the process ends.
// Its answers name their requests.
func (c runnerCommand) Run() error {
	if c.Address == "" {
		c.Address = c.Listen
	}
	entry := &entryWriter{store: c.Store, changed: make(chan struct{}, 1)}
	go entry.run()
	onAct := func(simul.Act) {}
	if c.Trace {
		onAct = func(a simul.Act) { fmt.Println(a) }
	}
	runner := simul.NewRunner(simul.RunnerOptions{
		ID: c.ID, Service: c.Service, Address: c.Address, Domain: c.Domain, Fabric: c.Fabric, Slots: c.Slots,
		Join: c.Join, Event: c.Event, EventMax: c.Longest, Events: c.Events, Sip: c.Sip, Named: true, Faults: c.Faults,
		PutEntry: entry.put, OnAct: onAct, Crash: c.Crash, OnCrash: func() { os.Exit(crashCode) },
		Limit: c.Limit, LimitPeriod: c.Period,
	})
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	runner.Publish()
	return simul.Serve(listener, runner, readHeaderTimeout)
}

// crashCode is the exit status of a runner that crashes at a prompt.
const crashCode = 7

// entryWriter writes a runner's entry to the store. It repeats a failed write with
// the newest entry until the store accepts it.
type entryWriter struct {
	store   string
	changed chan struct{} // signals that there is an entry to write
	mu      sync.Mutex
	key     string
	value   []byte
}

const (
	entryRetry   = 200 * time.Millisecond // between a failed write and the next
	entryTimeout = time.Second            // for one write
)

// put sets the entry to write and returns at once.
func (e *entryWriter) put(key string, value []byte) {
	e.mu.Lock()
	e.key, e.value = key, value
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default: // a signal is pending already
	}
}

// run writes each new entry. It does not return.
func (e *entryWriter) run() {
	for range e.changed {
		for e.write() != nil {
			time.Sleep(entryRetry)
		}
	}
}

// write writes the newest entry once.
func (e *entryWriter) write() error {
	e.mu.Lock()
	key, value := e.key, e.value
	e.mu.Unlock()
	address := "http://" + e.store + simul.ItemPath + "?" + url.Values{"key": {key}}.Encode()
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(value))
	if err != nil {
		return err
	}
	response, err := (&http.Client{Transport: reply.Default.Transport, Timeout: entryTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.New(response.Status)
	}
	return nil
}
