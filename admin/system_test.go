package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

const (
	storeHost    = "kv"
	operatorHost = "operator"       // host that sends the edits
	convergence  = 19 * time.Second // for all daemons to have the last accepted document
)

// system is a number of daemons and a store on an in-memory network.
type system struct {
	t       *testing.T
	network *fakes.Network
	store   *fakes.Store
	daemons []*daemon

	mu       sync.Mutex
	reverted []string // decreases of the serial at a daemon
	onWrite  func()   // called after each write of the configuration
}

// daemon is one daemon. Its parts are replaced when it restarts.
type daemon struct {
	system *system
	host   string
	domain string

	relay   *relay.Relay
	roster  *roster.Roster
	audit   *audit.Log
	stop    context.CancelFunc
	running sync.WaitGroup
	alive   bool
}

// withSystem runs a test on a fake clock with n daemons, in three failure
// domains, that have discovered each other.
func withSystem(t *testing.T, n int, test func(t *testing.T, s *system)) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{t: t, network: fakes.NewNetwork(), store: fakes.NewStore(), onWrite: func() {}}
		s.network.Latency = func(string, string) time.Duration { return 1500 * time.Microsecond }
		s.network.Serve(storeHost+":80", s.store)
		defer s.network.Close()
		for i := range n {
			d := &daemon{system: s, host: fmt.Sprint("d", i), domain: fmt.Sprint("domain-", i%3)}
			s.daemons = append(s.daemons, d)
			d.start()
		}
		defer func() {
			s.repair()
			for _, d := range s.daemons {
				d.kill()
			}
		}()
		time.Sleep(5 * time.Second)
		test(t, s)
	})
}

func (s *system) repair() {
	s.store.Down(false)
	s.store.Hang(false)
	s.store.LoseAnswers(0)
	for _, d := range s.daemons {
		s.network.Heal(d.host, fakes.AnyHost)
		s.network.Heal(d.host, storeHost)
	}
}

// start runs the daemon without any state from an earlier run.
func (d *daemon) start() {
	s := d.system
	client := s.network.Client(d.host)
	kv := store.New("http://"+storeHost, func(r *http.Request) (*http.Response, error) {
		response, err := client.Do(r)
		if r.Method == http.MethodPut && r.URL.Path == "/v1/kv/"+fleet.ConfKey {
			s.onWrite()
		}
		return response, err
	})
	self := &wire.Daemon{
		Id: d.host, Boot: uint64(time.Now().UnixNano()), PeerAddress: d.host + ":7000",
		CallerAddress: d.host + ":7001", Domain: d.domain, Region: "north",
	}
	d.relay = relay.New(relay.Options{
		Self: d.host, Domain: d.domain, Seeds: []string{"d0:7000", "d1:7000"}, Store: kv,
		Daemons: func() []*wire.Daemon { return d.roster.Daemons() },
		Client:  func(to string) wire.RelayClient { return relay.Dial(client, to) },
		Log:     logr.Discard(), Rand: rand.New(rand.NewPCG(1, self.Boot)),
	})
	d.roster = roster.New(roster.Options{
		Self: self, Seeds: []string{"d0:7000", "d1:7000"}, Store: kv,
		Client: func(to string) wire.RosterClient { return roster.Dial(client, to) },
		Digest: d.relay.Digest, CompareDigest: d.relay.CompareDigest,
		Log: logr.Discard(), Rand: rand.New(rand.NewPCG(2, self.Boot)),
	})
	d.audit = audit.New(audit.Options{Daemon: d.host, Boot: self.Boot, Store: kv, Logger: logr.Discard()})
	operators := admin.New(admin.Options{
		Store: kv, Ready: d.relay.Ready, Get: d.relay.Get, Apply: d.relay.Apply, AwaitRevision: d.relay.AwaitRevision,
		Record: d.audit.Add, Read: d.audit.Read, Status: func() any { return d.host }, Log: logr.Discard(),
	})
	peers := http.NewServeMux()
	peers.Handle(d.roster.Handler())
	peers.Handle(d.relay.Handler())
	s.network.Serve(d.host+":7000", peers)
	s.network.Serve(d.host+":7002", operators)

	ctx, cancel := context.WithCancel(s.t.Context())
	d.stop, d.alive = cancel, true
	d.running.Go(func() { _ = d.relay.Run(ctx) })
	d.running.Go(func() { _ = d.roster.Run(ctx) })
	d.running.Go(func() { _ = d.audit.Run(ctx) })
	d.running.Go(func() { s.observe(ctx, d.host, d.relay) })
}

// kill stops the daemon abruptly: its connections break and it sends nothing
// more.
func (d *daemon) kill() {
	if !d.alive {
		return
	}
	d.alive = false
	d.system.network.Kill(d.host)
	d.system.network.Cut(d.host, fakes.AnyHost) // also blocks the message that it leaves
	d.stop()
	d.running.Wait()
	d.system.network.Heal(d.host, fakes.AnyHost)
}

// observe records each decrease of the configuration serial at a daemon.
func (s *system) observe(ctx context.Context, host string, r *relay.Relay) {
	var last uint64
	for {
		changed := r.Changed()
		if serial := r.View().Serial; serial < last {
			s.mu.Lock()
			s.reverted = append(s.reverted, fmt.Sprintf("%s from %d to %d", host, last, serial))
			s.mu.Unlock()
		} else {
			last = serial
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// outcome is a response to an operator.
type outcome struct {
	status   int
	accepted admin.Accepted
	refusal  admin.Refusal
}

// send sends a request to the operators' interface of the daemon. Status 0 means
// that there was no response.
func (d *daemon) send(method, path string, body any) outcome {
	ctx, cancel := context.WithTimeout(d.system.t.Context(), 15*time.Second)
	defer cancel()
	data, _ := json.Marshal(body)
	url := "http://" + d.host + ":7002/admin/v1/" + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		d.system.t.Error(err)
		return outcome{}
	}
	client := d.system.network.Client(operatorHost)
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return outcome{}
	}
	defer response.Body.Close()
	o := outcome{status: response.StatusCode}
	if o.status == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&o.accepted)
	} else {
		err = json.NewDecoder(response.Body).Decode(&o.refusal)
	}
	if err != nil {
		return outcome{}
	}
	return o
}

// auditOfDay requests the audit log of the last day from the daemon.
func (d *daemon) auditOfDay() []audit.Entry {
	client := d.system.network.Client(operatorHost)
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + d.host + ":7002/admin/v1/audit")
	if err != nil {
		d.system.t.Error(err)
		return nil
	}
	defer response.Body.Close()
	var log admin.AuditLog
	if err := json.NewDecoder(response.Body).Decode(&log); err != nil {
		d.system.t.Error(err)
	}
	return log.Entries
}

// put sends an edit of one section.
func (d *daemon) put(id string, base uint64, section, content string) outcome {
	return d.send(http.MethodPut, "config", admin.Put{
		ID: id, Base: base, Who: "team " + section, Cause: "test",
		Sections: map[string]json.RawMessage{section: json.RawMessage(content)},
	})
}

// stored returns the configuration in the store.
func (s *system) stored() edit.Envelope {
	entry, err := store.New("http://"+storeHost, s.network.Client("test").Do).Get(s.t.Context(), fleet.ConfKey)
	if err != nil {
		return edit.Envelope{}
	}
	envelope, err := edit.Read(entry.Value)
	if err != nil {
		s.t.Error(err)
	}
	return envelope
}

// behind returns the live daemons whose configuration has another serial.
func (s *system) behind(serial uint64) []string {
	var behind []string
	for _, d := range s.daemons {
		if d.alive && d.relay.View().Serial != serial {
			behind = append(behind, d.host)
		}
	}
	return behind
}

// oldestConfirmation returns the longest time since the configuration of a live
// daemon was confirmed.
func (s *system) oldestConfirmation() time.Duration {
	var oldest time.Duration
	for _, d := range s.daemons {
		if d.alive {
			oldest = max(oldest, time.Since(d.relay.VerifiedAt()))
		}
	}
	return oldest
}

// ids returns the ids of the edits recorded in the store, oldest first.
func (s *system) ids() []string {
	var ids []string
	for _, accepted := range s.stored().Edits {
		ids = append(ids, accepted.ID)
	}
	return ids
}

func count(ids []string, id string) int {
	n := 0
	for _, other := range ids {
		if other == id {
			n++
		}
	}
	return n
}
