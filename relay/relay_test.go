package relay_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "23"}) }

// peer is a client whose calls a test answers.
type peer struct {
	push  func(context.Context, *wire.PushRequest) (*wire.PushResponse, error)
	fetch func(context.Context, *wire.FetchRequest) (*wire.FetchResponse, error)
}

func (p peer) Push(ctx context.Context, q *wire.PushRequest) (*wire.PushResponse, error) {
	return p.push(ctx, q)
}

func (p peer) Fetch(ctx context.Context, q *wire.FetchRequest) (*wire.FetchResponse, error) {
	return p.fetch(ctx, q)
}

func newRelay(client wire.RelayClient, daemons ...*wire.Daemon) *relay.Relay {
	unreachable := func(*http.Request) (*http.Response, error) { return nil, errors.New("away") }
	return relay.New(relay.Options{
		Self: "d0", Domain: "north", Store: store.New("http://kv", unreachable),
		Daemons: func() []*wire.Daemon { return daemons },
		Client:  func(string) wire.RelayClient { return client },
		Log:     logr.Discard(),
		Rand:    rand.New(rand.NewPCG(1, 1)),
	})
}

func configuration(revision, serial uint64) store.Entry {
	value, err := json.Marshal(edit.Envelope{Serial: serial})
	if err != nil {
		panic(err)
	}
	return store.Entry{Key: fleet.ConfKey, Value: value, Revision: revision}
}

func fabric(revision uint64) store.Entry {
	value, err := json.Marshal(fleet.Fabric{Name: "f1", Fence: revision})
	if err != nil {
		panic(err)
	}
	return store.Entry{Key: fleet.Key("f1"), Value: value, Revision: revision}
}

// TestRevisionNeverDecreasesProperty applies revisions in any order, pushed by
// peers or learned locally, and checks that the newest one applied so far is
// always in force.
func TestRevisionNeverDecreasesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(nil)
		var newest uint64
		for range rapid.IntRange(1, 30).Draw(t, "arrivals") {
			revision := rapid.Uint64Range(1, 10).Draw(t, "revision")
			newest = max(newest, revision)
			entry := fabric(revision)
			if rapid.Bool().Draw(t, "pushed") {
				document := &wire.Document{Key: entry.Key, Revision: revision, Value: entry.Value}
				_, err := r.Push(context.Background(), &wire.PushRequest{Documents: []*wire.Document{document}})
				if err != nil {
					t.Fatal(err)
				}
			} else {
				r.Apply(entry)
			}
			if got := r.View().Fabrics["f1"].Fence; got != newest {
				t.Fatalf("in force is %d, the newest is %d", got, newest)
			}
		}
	})
}

// TestApply checks which entries Apply takes and whether it then signals a
// change of the view.
func TestApply(t *testing.T) {
	broken := store.Entry{Key: fleet.ConfKey, Value: []byte("{"), Revision: 8}
	tests := []struct {
		name   string
		entry  store.Entry
		newer  bool
		serial uint64 // in force afterwards; 3 at revision 7 before
	}{
		{"newer", configuration(8, 4), true, 4},
		{"the same", configuration(7, 3), false, 3},
		{"older", configuration(6, 2), false, 3},
		{"unreadable", broken, true, 3},
		{"lower serial", configuration(8, 2), true, 3},
		{"deleted", store.Entry{Key: fleet.ConfKey, Deleted: true, Revision: 8}, true, 3},
		{"another key", store.Entry{Key: "daemons/d1", Revision: 8}, false, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelay(nil)
			r.Apply(configuration(7, 3))
			changed := r.Changed()
			is.Equal(r.Apply(test.entry), test.newer)
			is.Equal(r.View().Serial, test.serial)
			select {
			case <-changed:
				is.True(test.newer)
			default:
				is.True(!test.newer)
			}
		})
	}
}

// TestCallsToSilentPeerTimeOut checks that every call to a peer that accepts it
// but never answers ends in time, so that the broken connection is dropped.
func TestCallsToSilentPeerTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		calls, longest := 0, time.Duration(0)
		silent := func(ctx context.Context) error {
			began := time.Now()
			<-ctx.Done()
			mu.Lock()
			defer mu.Unlock()
			calls++
			longest = max(longest, time.Since(began))
			return ctx.Err()
		}
		client := peer{
			push: func(ctx context.Context, _ *wire.PushRequest) (*wire.PushResponse, error) {
				return nil, silent(ctx)
			},
			fetch: func(ctx context.Context, _ *wire.FetchRequest) (*wire.FetchResponse, error) {
				return nil, silent(ctx)
			},
		}
		other := &wire.Daemon{Id: "d1", Domain: "north", Standing: wire.Standing_STANDING_ALIVE}
		r := newRelay(client, other)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = r.Run(ctx)
		}()
		r.Apply(configuration(1, 1))
		r.CompareDigest(other, &wire.Digest{Hash: 1, Revision: 9}, time.Now())
		time.Sleep(time.Minute)
		cancel()
		<-done
		is.True(calls >= 3)
		is.True(longest <= 5*time.Second)
	})
}

// TestPushRequestsOneDelivery offers the same revision from several peers and
// checks that its delivery is requested from one of them, and from another only
// if the first does not deliver in time.
func TestPushRequestsOneDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRelay(nil)
		offer := &wire.PushRequest{Offered: []*wire.Version{{Key: fleet.ConfKey, Revision: 5}}}
		wanted := func() []string {
			response, err := r.Push(t.Context(), offer)
			is.NoErr(err)
			return response.Wanted
		}
		is.Equal(wanted(), []string{fleet.ConfKey})
		is.Equal(len(wanted()), 0)
		time.Sleep(3 * time.Second)
		is.Equal(wanted(), []string{fleet.ConfKey})
		r.Apply(configuration(5, 1))
		is.Equal(len(wanted()), 0)
	})
}

func ExampleSelect() {
	daemons := []*wire.Daemon{
		{Id: "d1", Domain: "north", Standing: wire.Standing_STANDING_ALIVE},
		{Id: "d2", Domain: "north", Standing: wire.Standing_STANDING_ALIVE},
		{Id: "d3", Domain: "north", Standing: wire.Standing_STANDING_DEAD},
		{Id: "d4", Domain: "south", Standing: wire.Standing_STANDING_ALIVE},
		{Id: "d5", Domain: "north", Standing: wire.Standing_STANDING_ALIVE},
	}
	for _, daemon := range relay.Select(daemons, "north", "relay", relay.Watchers) {
		fmt.Println(daemon.Id)
	}
	// Output:
	// d2
	// d1
}
