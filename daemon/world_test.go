package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/daemon"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// world is a whole system on a false clock: three daemons, the store, a plain
// service, and two fabric domains of three endpoints, in a failure domain
// each.
type world struct {
	t       *testing.T
	network *fakes.Network
	store   *fakes.Store
	plain   *fakes.Plain
	ledger  *fakes.Ledger // runs of all engines, by prompt
	engines map[string]*fakes.Engine
	daemons map[string]func() // by id: ends it and waits

	mu    sync.Mutex
	begun map[string]time.Time // when an engine last began to run a request
	lost  map[string]bool      // daemons that callers can't reach any more
}

const (
	key       = "key"
	replicas  = 2
	replica   = 2 // instances
	tokens    = 8
	tokenTime = 50 * time.Millisecond
)

func withWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t:       t,
			network: fakes.NewNetwork(),
			store:   fakes.NewStore(),
			plain:   fakes.NewPlain(),
			ledger:  fakes.NewLedger(),
			engines: map[string]*fakes.Engine{},
			daemons: map[string]func(){},
			begun:   map[string]time.Time{},
			lost:    map[string]bool{},
		}
		w.network.Latency = func(string, string) time.Duration { return 1500 * time.Microsecond }
		w.network.Serve("kv:80", w.store)
		w.network.Serve("plain:80", w.plain)
		w.startEngines()
		w.startDaemon("d1", "north")
		w.startDaemon("d2", "south")
		w.startDaemon("d3", "north")
		defer w.close()
		w.configure()
		test(w)
	})
}

func (w *world) startEngines() {
	var instances []store.Instance
	for _, domain := range []string{"north", "south"} {
		for i := range 3 {
			id := fmt.Sprintf("%s-%d", domain, i)
			w.engines[id] = fakes.NewEngine(fakes.EngineOptions{
				ID:     id,
				Token:  tokenTime,
				Member: engine.New(w.network.Client(id).Do).Probe,
				Began:  func(_, prompt string) { w.began(id, prompt) },
			})
			w.network.Serve(id+":80", w.engines[id])
			instances = append(instances, store.Instance{
				ID: id, Address: id + ":80", Fabric: "f-" + domain, Domain: domain, Region: "r",
				Chips: 4, Checks: true, Standing: store.Live,
			})
		}
	}
	w.store.SetInstances(instances...)
}

func (w *world) began(id, prompt string) {
	w.ledger.Add(prompt)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun[id] = time.Now()
}

func (w *world) startDaemon(id, domain string) {
	d, err := daemon.New(daemon.Options{
		Settings: conf.Settings{
			ID: id, Domain: domain, Region: "r",
			Caller: id + ":80", Peer: id + ":81", Operator: id + ":82",
			Store: "http://kv:80", Platform: "http://kv:80",
			Seeds: []string{"d1:81", "d2:81", "d3:81"},
		},
		Started: time.Now(),
		Listen:  func(address string) (net.Listener, error) { return w.network.Listen(address), nil },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return w.network.Dial(ctx, id, address)
		},
		Log:      logr.Discard(),
		Registry: prometheus.NewRegistry(),
		Rand:     rand.New(rand.NewPCG(1, uint64(id[1]))),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	w.daemons[id] = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			w.t.Errorf("%s: %v", id, err)
		}
	})
}

func (w *world) close() {
	var group sync.WaitGroup
	for _, stop := range w.daemons {
		group.Go(stop)
	}
	group.Wait()
	for _, e := range w.engines {
		e.Close()
	}
	w.network.Close()
}

// configure puts the document and waits until all replicas serve.
func (w *world) configure() {
	sum := sha256.Sum256([]byte(key))
	document := conf.Document{
		Models: map[string]conf.Model{"m": {Versions: []string{"1"}, Gigabyte: 1}},
		Groups: map[string]conf.Group{"g": {
			Model: "m", Version: "1", Size: replica, Replicas: replicas, Accounts: []string{"guild"},
		}},
		Capacity: conf.Capacity{Spread: 2},
		Accounts: map[string]conf.Account{"guild": {Keys: []string{hex.EncodeToString(sum[:])}}},
		Domains:  map[string]conf.Domain{"north": {Region: "r"}, "south": {Region: "r"}},
		Services: map[string]conf.Service{"ledger": {
			Addresses: []string{"plain:80"}, Accounts: []string{"guild"}, Once: true,
		}},
		Limits: conf.Limits{Entries: conf.Duration(time.Second)},
	}
	text, err := json.Marshal(document)
	if err != nil {
		w.t.Fatal(err)
	}
	put := admin.Put{ID: "e1", Who: "test", Document: text}
	w.until("the document is accepted", func() bool { return w.admin(http.MethodPut, "config", put, nil) })
	w.until("all replicas serve", w.whole)
}

// until waits for a condition, for a minute at most.
func (w *world) until(text string, holds func() bool) time.Duration {
	start := time.Now()
	for !holds() {
		if time.Since(start) > time.Minute {
			w.t.Fatalf("gave up waiting until %s", text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// whole reports whether the group has all its replicas, of live engines.
func (w *world) whole() bool {
	var status daemon.Status
	return w.admin(http.MethodGet, "status", nil, &status) && len(status.Groups) == 1 &&
		status.Groups[0].Serving == replicas
}

// members returns the instances of a replica by rank, as d1 believes.
func (w *world) members() []string {
	var status daemon.Status
	w.admin(http.MethodGet, "status", nil, &status)
	var ids []string
	for _, member := range status.Fabrics[0].Replicas[0].Members {
		ids = append(ids, member.Instance)
	}
	return ids
}

func (w *world) admin(method, path string, in, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body, _ := json.Marshal(in)
	r, err := http.NewRequestWithContext(ctx, method, "http://d1:82/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	response, err := w.network.Client("operator").Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	return out == nil || json.NewDecoder(response.Body).Decode(out) == nil
}

// answer is what a caller got.
type answer struct {
	to     string // daemon
	status int
	text   string
	reason entry.Reason
	err    error
}

// entries asks a daemon that callers can reach for the addresses to use.
func (w *world) entries(caller *http.Client) []string {
	for _, id := range []string{"d1", "d2", "d3"} {
		if w.isLost(id) {
			continue
		}
		response, err := caller.Get("http://" + id + ":80/v1/entries")
		if err != nil {
			continue
		}
		var named entry.Entries
		err = json.NewDecoder(response.Body).Decode(&named)
		_ = response.Body.Close()
		if err == nil && len(named.Entries) > 0 {
			return addresses(named)
		}
	}
	return nil
}

func addresses(named entry.Entries) []string {
	var all []string
	for _, e := range named.Entries {
		all = append(all, e.Address)
	}
	return all
}

func (w *world) isLost(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost[id]
}

// complete sends a completion to an address. Once marks it as not repeatable.
func (w *world) complete(caller *http.Client, to, prompt, user string, once bool) answer {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"user":%q}`, prompt, tokens, user)
	return w.send(caller, "http://"+to+"/v1/completions", body, prompt, once)
}

func (w *world) send(caller *http.Client, link, body, id string, once bool) answer {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, link, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Request-Id", strings.ReplaceAll(id, " ", "-"))
	if once {
		r.Header.Set("X-Repeatable", "no")
	}
	response, err := caller.Do(r)
	if err != nil {
		return answer{to: r.URL.Hostname(), err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := answer{to: r.URL.Hostname(), status: response.StatusCode, err: err}
	var whole struct {
		Choices []struct{ Text string }
		Error   entry.Reason
	}
	_ = json.Unmarshal(data, &whole)
	a.reason = whole.Error
	if len(whole.Choices) > 0 {
		a.text = whole.Choices[0].Text
	}
	return a
}
