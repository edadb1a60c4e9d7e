package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"clementinehead.example/chead/simul"
)

// sip is the pause of runners that read slowly, after each part of a request's body.
const sip = 30 * time.Millisecond

// minPlain is the least number of runners that serve plain calls.
const minPlain = 2

// addRunner starts the runner with index i.
func (c *cluster) addRunner(i int, store string) error {
	name := fmt.Sprintf("r%d", i)
	log, err := c.createLog(name)
	if err != nil {
		return &Error{Op: "log", Kind: Start, Err: err}
	}
	listen := simul.Address()
	path, err := NewPath(listen)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	path.onBytes = func(data []byte) { c.recordPassed(name, data) }
	address := path.Address()
	if c.traits.crashes {
		address = listen // a path accepts connections even while its runner is dead
	}
	service, fabric := "engines", "f1"
	plain := i >= c.options.Runners-max(minPlain, c.options.Runners/c.traits.plainShare)
	if plain {
		service, fabric = "plain", ""
	}
	p, f := c.options.Profile.pace(c.options.Seed, i, plain), c.traits.faults
	r := &runner{path: path, proc: proc{name: name, log: log, onLine: c.recordAct, command: []string{
		c.options.Chfake, "runner", "--id", name, "--listen", listen, "--address", address, "--store", store, "--service", service,
		"--domain", "north", "--fabric", fabric, "--slots", "8", "--join", "50ms", "--event", p.shortest.String(), "--longest", p.longest.String(),
		"--events", fmt.Sprint(c.traits.events), "--trace", "--seed", fmt.Sprint(c.options.Seed),
		"--stutter", fmt.Sprint(f.Stutter), "--lose", fmt.Sprint(f.Lose), "--reset", fmt.Sprint(f.Reset), "--truncate", fmt.Sprint(f.Truncate),
		"--unsized", fmt.Sprint(f.Unsized), "--fail", fmt.Sprint(f.Fail), "--expire", fmt.Sprint(f.Expire), "--busy", fmt.Sprint(f.Busy),
	}}}
	if c.traits.crashes && !plain {
		r.command = append(r.command, "--crash", crashingPart)
	}
	if f.Waves > 0 {
		r.command = append(r.command, "--waves", f.Waves.String())
	}
	if c.traits.slow && i%2 == 0 {
		r.command = append(r.command, "--sip", sip.String())
	}
	if c.traits.limits {
		r.command = append(r.command, "--limit", fmt.Sprint(statedLimit(c.options.Seed, i)), "--period", limitPeriod.String())
	}
	c.runners = append(c.runners, r)
	return r.start()
}

// recordAct records an act of a runner if a line of its output reports one.
func (c *cluster) recordAct(line string) {
	act, found := simul.ParseAct(line)
	if !found {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if act.Deed == simul.Gave {
		c.given[act.Signature] = act
	}
	c.acts[act.ID] = append(c.acts[act.ID], act)
}

// recordPassed records that a request was passed on to a runner, if the bytes that a
// daemon sent begin one.
func (c *cluster) recordPassed(runner string, data []byte) {
	const header = "\r\nX-Request-Id: "
	_, rest, found := bytes.Cut(data, []byte(header))
	id, _, whole := bytes.Cut(rest, []byte("\r\n"))
	if !found || !whole {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acts[string(id)] = append(c.acts[string(id)], simul.Act{Deed: passedOn, Runner: runner, ID: string(id), At: time.Now().UnixMicro()})
}

// addDaemon starts the daemon with index i.
func (c *cluster) addDaemon(i int) error {
	name := fmt.Sprintf("d%d", i)
	log, err := c.createLog(name)
	if err != nil {
		return &Error{Op: "log", Kind: Start, Err: err}
	}
	d := &daemon{index: i, caller: simul.Address(), guide: simul.Address(), ready: simul.Address(), access: c.store.Access()}
	store, err := c.serve(d.access)
	if err != nil {
		return err
	}
	d.store, err = NewPath(store)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	d.callers, err = NewPath(d.caller)
	if err != nil {
		return &Error{Op: "path", Kind: Start, Err: err}
	}
	d.settings = map[string]any{
		"id": name, "domain": "north", "region": "r", "caller": d.caller, "ready": d.ready, "guide": d.guide, "peer": simul.Address(),
		"store": d.store.Address(), "revoke": revoke.Milliseconds(), "apply": apply.Milliseconds(), "grace": grace.Seconds(), "ratio": 0.2, "extra": extraRetries, "window": 10, "memory": 284,
	}
	if c.traits.cuts {
		d.settings["source"] = sourceOf(i)
	}
	path := filepath.Join(c.options.Dir, name+".json")
	if err := writeSettings(path, d.settings); err != nil {
		return &Error{Op: "settings", Kind: Start, Err: err}
	}
	d.proc = proc{name: name, log: log, onLine: func(line string) { c.checkSound(i, line) }, command: []string{c.firstBuild(i), "edge", "--settings", path}}
	c.daemons = append(c.daemons, d)
	return d.start()
}

const (
	extraRetries = 100
	settingsMode = 0o600
)

// writeSettings replaces a settings file at once.
func writeSettings(path string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, settingsMode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// rewrite changes a setting of a daemon that may change while it runs: the number of
// retries goes up by one.
func (c *cluster) rewrite(d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.settings["extra"] = d.settings["extra"].(int) + 1
	_ = writeSettings(filepath.Join(c.options.Dir, d.name+".json"), d.settings) // the old file stays
}
