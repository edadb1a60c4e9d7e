package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/gate"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "20261203", Checks: "50"}) }

// cluster is a number of daemons' entries, two replicas of one engine each, a
// plain service and a key-value store, on one in-memory network.
type cluster struct {
	t        *testing.T
	document conf.Document
	network  *fakes.Network
	store    *fakes.Store
	engines  []*fakes.Engine
	plain    *fakes.Plain
	gates    *fakes.Gates
	realGate *gate.Gate // used in place of gates, nil for none
	unready  atomic.Bool
	gateDown atomic.Bool // d0, the daemon of all gates, is unreachable
	entries  []*entry.Entry
	records  []*once.Ledger
	view     atomic.Pointer[view.View]
	mu       sync.Mutex
	orders   [2]lastOrder
	samples  []tally.Sample
}

const (
	deskKey = "desk key"
	yardKey = "yard key"
)

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func document() conf.Document {
	return conf.Document{
		Models: map[string]conf.Model{"m": {Versions: []string{"1"}}},
		Groups: map[string]conf.Group{
			"forge": {Model: "m", Version: "1", Size: 1, Replicas: 2, Accounts: []string{"desk", "yard"}},
			"other": {Model: "n", Version: "1", Size: 1, Replicas: 1, Accounts: []string{"yard"}},
		},
		Accounts: map[string]conf.Account{
			"desk": {Keys: []string{hashKey(deskKey)}, Priority: 3},
			"yard": {Keys: []string{hashKey(yardKey)}},
		},
		Services: map[string]conf.Service{
			"ledger": {Addresses: []string{"p0:80", "p1:80"}, Accounts: []string{"desk", "yard"}, Once: true},
			"lookup": {Addresses: []string{"p0:80", "p1:80"}, Accounts: []string{"desk"}},
		},
		Limits: conf.Limits{
			Body:  1 << 16,
			First: conf.Duration(2 * time.Second),
			Gap:   conf.Duration(time.Second),
		},
	}
}

// lastOrder is the last order to an engine: its fencing token and the engine's
// boot number.
type lastOrder struct{ fence, boot uint64 }

// newView returns a view of two replicas of one engine each.
func newView(t testing.TB, d conf.Document, orders [2]lastOrder) *view.View {
	envelope, err := json.Marshal(edit.Envelope{Serial: 1, Document: d})
	if err != nil {
		t.Fatal(err)
	}
	fabric := fleet.Fabric{Name: "f", Domain: "coast-a"}
	for i := range 2 {
		fabric.Replicas = append(fabric.Replicas, fleet.Replica{
			ID: fmt.Sprintf("r%d", i), Group: "forge", Model: "m", Version: "1", State: "serving",
			Fence: orders[i].fence, Gate: "d0",
			Members: []fleet.Member{{Instance: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:80", i), Boot: orders[i].boot}},
		})
	}
	value, err := json.Marshal(fabric)
	if err != nil {
		t.Fatal(err)
	}
	v, err := view.New(map[string]store.Entry{
		fleet.ConfKey:  {Key: fleet.ConfKey, Value: envelope, Revision: 1},
		fleet.Key("f"): {Key: fleet.Key("f"), Value: value, Revision: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// withCluster runs a test of a cluster of n entries on a simulated clock.
func withCluster(t *testing.T, n int, d conf.Document, o fakes.EngineOptions, test func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, n, d, o)
		defer cl.close()
		test(cl)
	})
}

func newCluster(t *testing.T, n int, d conf.Document, o fakes.EngineOptions) *cluster {
	cl := &cluster{t: t, document: d, network: fakes.NewNetwork(), store: fakes.NewStore(), plain: fakes.NewPlain()}
	cl.gates = fakes.NewGates(cl.view.Load, 64)
	cl.network.Serve("kv:80", cl.store)
	cl.network.Serve("p0:80", cl.plain)
	cl.network.Serve("p1:80", cl.plain)
	o.ColdLimit, o.WarmLimit, o.Size = 64, 64, 64
	for i := range 2 {
		o.ID = fmt.Sprintf("e%d", i)
		cl.engines = append(cl.engines, fakes.NewEngine(o))
		cl.network.Serve(o.ID+":80", cl.engines[i])
		cl.order(i)
	}
	for i := range n {
		cl.entries = append(cl.entries, cl.newEntry(i))
	}
	time.Sleep(time.Second)
	return cl
}

// order makes an engine the only member of its replica, with a new fencing
// token, as a keeper does. An engine that is dead or paused is sent the order
// again later.
func (cl *cluster) order(i int) {
	cl.mu.Lock()
	cl.orders[i].fence++
	fence := cl.orders[i].fence
	cl.mu.Unlock()
	for range 20 {
		if cl.sendOrder(i, fence) {
			return
		}
		time.Sleep(time.Second)
	}
}

// sendOrder sends an engine one order and reports whether no more need be sent.
func (cl *cluster) sendOrder(i int, fence uint64) bool {
	address := fmt.Sprintf("e%d:80", i)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	report, err := engine.New(cl.network.Client("ops").Do).Order(ctx, address, engine.Order{
		Fence: fence, Replica: fmt.Sprintf("r%d", i), Model: "m", Version: "1", Members: []string{address},
	})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.orders[i].fence > fence {
		return true // a newer order is being sent
	}
	if err != nil {
		return false
	}
	cl.orders[i].boot = report.Boot
	cl.view.Store(newView(cl.t, cl.document, cl.orders))
	return true
}

func (cl *cluster) newEntry(i int) *entry.Entry {
	host := fmt.Sprintf("d%d", i)
	unpooled := cl.network.Client(host)
	unpooled.Transport.(*http.Transport).DisableKeepAlives = true
	plain := cl.network.Client(host)
	plain.Transport.(*http.Transport).MaxIdleConnsPerHost = -1
	ledger := once.New(once.Options{
		Self: host, Boot: uint64(i + 1), Store: store.New("http://kv:80", cl.network.Client(host).Do),
		Window: func() time.Duration { return time.Duration(cl.view.Load().Document.Limits.Window) },
	})
	cl.records = append(cl.records, ledger)
	e := entry.New(entry.Options{
		Self: host, Domain: "coast-a", Boot: uint64(i + 1),
		View:    cl.view.Load,
		Daemons: cl.daemons,
		Ready: func() error {
			if cl.unready.Load() {
				return fakes.ErrGate
			}
			return nil
		},
		Order: func(v *view.View, _, _ string, _ []uint64, _ string) []view.Location {
			return v.Replicas("forge")
		},
		Gate:     cl.gateAt,
		Interim:  func(view.Location) []string { return []string{"d1"} },
		Engine:   engine.New(cl.network.Client(host).Do),
		Plain:    plain.Do,
		Unpooled: unpooled.Do,
		Records:  ledger,
		Count: func(s tally.Sample) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.samples = append(cl.samples, s)
		},
		Log:  logr.Discard(),
		Rand: rand.New(rand.NewPCG(1, uint64(i))),
	})
	go func() { _ = e.Serve(cl.network.Listen(host + ":80")) }()
	return e
}

// gateAt returns the gate of all replicas, unless its daemon is unreachable.
func (cl *cluster) gateAt(address string) wire.GateClient {
	if address == "d0:81" && cl.gateDown.Load() {
		return unreachable{}
	}
	if cl.realGate != nil {
		return cl.realGate
	}
	return cl.gates
}

// unreachable is the gate of a daemon that can't be reached.
type unreachable struct{ wire.UnimplementedGateHandler }

func (cl *cluster) daemons() []*wire.Daemon {
	var daemons []*wire.Daemon
	for i := range 3 {
		host := fmt.Sprintf("d%d", i)
		daemons = append(daemons, &wire.Daemon{
			Id: host, Standing: wire.Standing_STANDING_ALIVE, PeerAddress: host + ":81",
			CallerAddress: host + ":80", Domain: "coast-a", Region: "bc",
		})
	}
	return daemons
}

func (cl *cluster) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	for _, e := range cl.entries {
		if err := e.Shutdown(ctx); err != nil {
			cl.t.Error("shutdown:", err)
		}
	}
	for _, e := range cl.engines {
		e.Close()
	}
	cl.network.Close()
	synctest.Wait()
}

// runs returns the number of times that a prompt began to run, over all
// engines.
func (cl *cluster) runs(prompt string) int {
	sum := 0
	for _, e := range cl.engines {
		sum += e.PromptRuns(prompt)
	}
	return sum
}

// request is one request of a caller.
type request struct {
	to      int    // index of the entry
	host    string // the caller's host; "caller" where empty
	method  string // POST where empty
	path    string // completions where empty
	key     string // deskKey where empty
	prompt  string
	tokens  int
	stream  bool
	body    string // used in place of one made of prompt, tokens and stream
	headers map[string]string
}

// reply is a caller's view of the answer.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	err      error
	reason   entry.Reason
	text     string // text of the tokens
	complete bool   // the answer has its regular end
}

func (r request) httpRequest(ctx context.Context) (*http.Request, error) {
	path, key, method := "/v1/completions", deskKey, http.MethodPost
	if r.path != "" {
		path = r.path
	}
	if r.key != "" {
		key = r.key
	}
	if r.method != "" {
		method = r.method
	}
	body := r.body
	if body == "" {
		body = fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, r.prompt, max(1, r.tokens), r.stream)
	}
	var reader io.Reader
	if method != http.MethodGet {
		reader = strings.NewReader(body)
	}
	made, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://d%d:80%s", r.to, path), reader)
	if err != nil {
		return nil, err
	}
	made.GetBody = nil
	made.Header.Set("Authorization", "Bearer "+key)
	for name, value := range r.headers {
		made.Header.Set(name, value)
	}
	return made, nil
}

func (cl *cluster) send(r request) reply { return cl.sendContext(context.Background(), r) }

func (cl *cluster) sendContext(ctx context.Context, r request) reply {
	made, err := r.httpRequest(ctx)
	if err != nil {
		cl.t.Fatal(err)
	}
	if r.host == "" {
		r.host = "caller"
	}
	client := cl.network.Client(r.host)
	client.Transport.(*http.Transport).DisableKeepAlives = true
	response, err := client.Do(made)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: body, err: err}
	got.parse()
	return got
}

// parse reads the reason, text and end of an answer.
func (r *reply) parse() {
	var refusal entry.Refusal
	if json.Unmarshal(r.body, &refusal) == nil {
		r.reason = refusal.Error
	}
	if strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		r.parseEvents()
		return
	}
	r.text = answerText(r.body)
	r.complete = r.err == nil && r.status == http.StatusOK
}

// parseEvents reads an event stream as a client of the format does.
func (r *reply) parseEvents() {
	for event := range strings.SplitSeq(string(r.body), "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			data, ok := strings.CutPrefix(line, "data: ")
			if !ok {
				continue
			}
			if data == "[DONE]" {
				r.complete = r.err == nil
				continue
			}
			var refusal entry.Refusal
			if json.Unmarshal([]byte(data), &refusal) == nil && refusal.Error.Code != "" {
				r.reason = refusal.Error
			}
			r.text += answerText([]byte(data))
		}
	}
}

func answerText(data []byte) string {
	var event struct {
		Choices []struct {
			Text           string
			Delta, Message struct{ Content string }
		}
	}
	if json.Unmarshal(data, &event) != nil || len(event.Choices) == 0 {
		return ""
	}
	c := event.Choices[0]
	return c.Text + c.Delta.Content + c.Message.Content
}
