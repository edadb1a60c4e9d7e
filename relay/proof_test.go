package relay_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// firstOnly serves a store's calls with at most one change in each answer to a watch.
func firstOnly(service http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/watch" {
			service.ServeHTTP(w, r)
			return
		}
		got := httptest.NewRecorder()
		service.ServeHTTP(got, r)
		w.WriteHeader(got.Code)
		var listing store.Listing
		if json.Unmarshal(got.Body.Bytes(), &listing) != nil {
			return
		}
		if len(listing.Entries) > 1 {
			listing.Entries = listing.Entries[:1]
			listing.Revision = listing.Entries[0].Revision
		}
		_ = json.NewEncoder(w).Encode(listing) // fails only if the daemon has given up
	})
}

// Guards against a view that counts as verified though it lacks changes: an answer to a
// watch that held a part of them was taken for all (issue 45; as in package watch).
func TestVerifiedDocumentsLackNothing(t *testing.T) {
	const changes, pause = 40, 50 * time.Millisecond
	is := is.New(t)
	server := httptest.NewServer(firstOnly(fakes.NewStore()))
	defer server.Close()
	defer server.CloseClientConnections()
	client := store.New(server.URL, server.Client().Do)
	self := &wire.Daemon{Id: "d0", Domain: "north", Standing: wire.Standing_STANDING_ALIVE}
	r := relay.New(relay.Options{
		Self: "d0", Domain: "north", Store: client, Daemons: func() []*wire.Daemon { return []*wire.Daemon{self} },
		Client: func(string) wire.RelayClient { return nil }, Log: logr.Discard(), Rand: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, stop := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.Run(ctx) })
	defer wait.Wait()
	defer stop()

	var mu sync.Mutex
	var acknowledged []time.Time // by serial, from 1
	wait.Go(func() {
		var revisions [2]uint64
		for len(acknowledged) < changes && ctx.Err() == nil {
			serial := uint64(len(acknowledged) + 1)
			for i, entry := range []store.Entry{configuration(0, serial), fabric(serial)} { // each under a prefix of its own
				revision, err := client.Put(ctx, store.Put{Key: entry.Key, Value: entry.Value, Prev: revisions[i]})
				if err != nil {
					return
				}
				revisions[i] = revision
			}
			mu.Lock()
			acknowledged = append(acknowledged, time.Now())
			mu.Unlock()
			clock.Sleep(ctx, pause)
		}
	})
	verified := 0
	for end := time.Now().Add(changes*pause + time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		at := r.VerifiedAt()
		held := r.View()
		lowest := min(held.Serial, held.Fabrics["f1"].Fence)
		mu.Lock()
		must := 0
		for must < len(acknowledged) && acknowledged[must].Before(at) {
			must++
		}
		mu.Unlock()
		if lowest < uint64(must) {
			t.Fatalf("verified as of %v ago with change %d, but %d was acknowledged before", time.Since(at), lowest, must)
		}
		verified = must
	}
	is.Equal(verified, changes) // catching up doesn't lag behind
}
