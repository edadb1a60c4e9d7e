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

// cluster is a whole system on a fake clock: three daemons, the store, a plain
// service, and two fabric domains of three endpoints, each in its own failure
// domain.
type cluster struct {
	t       *testing.T
	network *fakes.Network
	store   *fakes.Store
	plain   *fakes.Plain
	counter *fakes.RunCounter // number of runs on all engines, by prompt
	engines map[string]*fakes.Engine
	daemons map[string]func() // by id; stops the daemon and waits for it

	mu          sync.Mutex
	begun       map[string]time.Time // when each engine last began to run a request
	unreachable map[string]bool      // daemons that have been isolated from callers
}

const (
	key         = "key"
	replicas    = 2
	replicaSize = 2 // instances per replica
	tokens      = 8
	tokenTime   = 50 * time.Millisecond
)

func withCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:           t,
			network:     fakes.NewNetwork(),
			store:       fakes.NewStore(),
			plain:       fakes.NewPlain(),
			counter:     fakes.NewRunCounter(),
			engines:     map[string]*fakes.Engine{},
			daemons:     map[string]func(){},
			begun:       map[string]time.Time{},
			unreachable: map[string]bool{},
		}
		c.network.Latency = func(string, string) time.Duration { return 1500 * time.Microsecond }
		c.network.Serve("kv:80", c.store)
		c.network.Serve("plain:80", c.plain)
		c.startEngines()
		c.startDaemon("d1", "north")
		c.startDaemon("d2", "south")
		c.startDaemon("d3", "north")
		defer c.close()
		c.configure()
		test(c)
	})
}

func (c *cluster) startEngines() {
	var instances []store.Instance
	for _, domain := range []string{"north", "south"} {
		for i := range 3 {
			id := fmt.Sprintf("%s-%d", domain, i)
			c.engines[id] = fakes.NewEngine(fakes.EngineOptions{
				ID:     id,
				Token:  tokenTime,
				Member: engine.New(c.network.Client(id).Do).Probe,
				OnRun:  func(_, prompt string) { c.began(id, prompt) },
			})
			c.network.Serve(id+":80", c.engines[id])
			instances = append(instances, store.Instance{
				ID: id, Address: id + ":80", Fabric: "f-" + domain, Domain: domain, Region: "r",
				Chips: 4, ChecksFence: true, Status: store.Live,
			})
		}
	}
	c.store.SetInstances(instances...)
}

func (c *cluster) began(id, prompt string) {
	c.counter.Add(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun[id] = time.Now()
}

func (c *cluster) startDaemon(id, domain string) {
	d, err := daemon.New(daemon.Options{
		Settings: conf.Settings{
			ID: id, Domain: domain, Region: "r",
			Caller: id + ":80", Peer: id + ":81", Operator: id + ":82",
			Store: "http://kv:80", Platform: "http://kv:80",
			Seeds: []string{"d1:81", "d2:81", "d3:81"},
		},
		Started: time.Now(),
		Listen:  func(address string) (net.Listener, error) { return c.network.Listen(address), nil },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return c.network.Dial(ctx, id, address)
		},
		Log:      logr.Discard(),
		Registry: prometheus.NewRegistry(),
		Rand:     rand.New(rand.NewPCG(1, uint64(id[1]))),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	c.daemons[id] = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Errorf("%s: %v", id, err)
		}
	})
}

func (c *cluster) close() {
	var group sync.WaitGroup
	for _, stop := range c.daemons {
		group.Go(stop)
	}
	group.Wait()
	for _, e := range c.engines {
		e.Close()
	}
	c.network.Close()
}

// configure stores the document and waits until all replicas serve.
func (c *cluster) configure() {
	sum := sha256.Sum256([]byte(key))
	document := conf.Document{
		Models: map[string]conf.Model{"m": {Versions: []string{"1"}, Gigabyte: 1}},
		Groups: map[string]conf.Group{"g": {
			Model: "m", Version: "1", Size: replicaSize, Replicas: replicas, Accounts: []string{"guild"},
		}},
		Capacity: conf.Capacity{Spread: 2},
		Accounts: map[string]conf.Account{"guild": {Keys: []string{hex.EncodeToString(sum[:])}}},
		Domains:  map[string]conf.Domain{"north": {Region: "r"}, "south": {Region: "r"}},
		Services: map[string]conf.Service{
			"ledger":  {Addresses: []string{"plain:80"}, Accounts: []string{"guild"}, Once: true},
			"stutter": {Addresses: []string{"stutter:80"}, Accounts: []string{"guild"}},
		},
		Limits: conf.Limits{Entries: conf.Duration(time.Second)},
	}
	text, err := json.Marshal(document)
	if err != nil {
		c.t.Fatal(err)
	}
	put := admin.Put{ID: "e1", Who: "test", Document: text}
	c.waitUntil("the document is accepted", func() bool { return c.admin(http.MethodPut, "config", put, nil) })
	c.waitUntil("all replicas serve", c.allServing)
}

// waitUntil waits for a condition and returns the time taken. The test fails
// after a minute.
func (c *cluster) waitUntil(text string, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		if time.Since(start) > time.Minute {
			c.t.Fatalf("gave up waiting until %s", text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// allServing reports whether all replicas of the group serve, according to d1.
func (c *cluster) allServing() bool {
	var status daemon.Status
	return c.admin(http.MethodGet, "status", nil, &status) && len(status.Groups) == 1 &&
		status.Groups[0].Serving == replicas
}

// members returns the instances of the first replica by rank, according to d1.
func (c *cluster) members() []string {
	var status daemon.Status
	c.admin(http.MethodGet, "status", nil, &status)
	var ids []string
	for _, member := range status.Fabrics[0].Replicas[0].Members {
		ids = append(ids, member.Instance)
	}
	return ids
}

func (c *cluster) admin(method, path string, in, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body, _ := json.Marshal(in)
	r, err := http.NewRequestWithContext(ctx, method, "http://d1:82/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.network.Client("operator").Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	return out == nil || json.NewDecoder(response.Body).Decode(out) == nil
}

// answer is the response that a caller received.
type answer struct {
	to     string // daemon
	status int
	text   string
	reason entry.Reason
	err    error
}

// entries requests the entry addresses from a daemon that callers can reach.
func (c *cluster) entries(caller *http.Client) []string {
	for _, id := range []string{"d1", "d2", "d3"} {
		if c.isUnreachable(id) {
			continue
		}
		response, err := caller.Get("http://" + id + ":80/v1/entries")
		if err != nil {
			continue
		}
		var list entry.Entries
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err == nil && len(list.Entries) > 0 {
			return addresses(list)
		}
	}
	return nil
}

func addresses(entries entry.Entries) []string {
	var all []string
	for _, e := range entries.Entries {
		all = append(all, e.Address)
	}
	return all
}

func (c *cluster) isUnreachable(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[id]
}

// complete sends a completion to an address. If once is true, the request is
// marked as not repeatable.
func (c *cluster) complete(caller *http.Client, to, prompt, user string, once bool) answer {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"user":%q}`, prompt, tokens, user)
	return c.send(caller, "http://"+to+"/v1/completions", body, prompt, once)
}

func (c *cluster) send(caller *http.Client, link, body, id string, once bool) answer {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, link, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
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
	var decoded struct {
		Choices []struct{ Text string }
		Error   entry.Reason
	}
	_ = json.Unmarshal(data, &decoded)
	a.reason = decoded.Error
	if len(decoded.Choices) > 0 {
		a.text = decoded.Choices[0].Text
	}
	return a
}
