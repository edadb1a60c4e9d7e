package fakes_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// withStore runs a test with a store at kv:80 and a client of it on host a.
func withStore(t *testing.T, test func(t *testing.T, is *is.I, n *fakes.Network, s *fakes.Store, c *store.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewNetwork()
		defer n.Close()
		s := fakes.NewStore()
		n.Serve("kv:80", s)
		test(t, is.New(t), n, s, store.New("http://kv:80", n.Client("a").Do))
	})
}

// kindOfStoreError returns the kind of a *store.Error, or -1 for any other
// error.
func kindOfStoreError(err error) store.Kind {
	var fault *store.Error
	if errors.As(err, &fault) {
		return fault.Kind
	}
	return -1
}

// exhaustWrites uses up the store's write rate.
func exhaustWrites(s *fakes.Store) {
	s.Limit(0.001, 0)
	s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/leases", strings.NewReader(`{"ttl":1}`)))
}

// Each fault gives the client the kind of error that says whether the put may
// have taken effect.
func TestStoreFaults(t *testing.T) {
	const none = store.Kind(-1)
	tests := []struct {
		name  string
		fault func(n *fakes.Network, s *fakes.Store)
		kind  store.Kind // of the error of the put
		done  bool       // the put took effect
	}{
		{name: "none", fault: func(*fakes.Network, *fakes.Store) {}, kind: none, done: true},
		{name: "down", fault: func(_ *fakes.Network, s *fakes.Store) { s.Down(true) }, kind: store.Unavailable},
		{name: "hanging", fault: func(_ *fakes.Network, s *fakes.Store) { s.Hang(true) }, kind: store.Lost},
		{name: "slow", fault: func(_ *fakes.Network, s *fakes.Store) { s.Delay(100 * time.Millisecond) }, kind: none, done: true},
		{name: "slower than the caller", fault: func(_ *fakes.Network, s *fakes.Store) { s.Delay(time.Minute) }, kind: store.Lost},
		{name: "lost answer", fault: func(_ *fakes.Network, s *fakes.Store) { s.LoseAnswers(1) }, kind: store.Lost, done: true},
		{name: "over the rate", fault: func(_ *fakes.Network, s *fakes.Store) { exhaustWrites(s) }, kind: store.Limited},
		{name: "no listener", fault: func(n *fakes.Network, _ *fakes.Store) { n.Kill("kv") }, kind: store.Unavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withStore(t, func(t *testing.T, is *is.I, n *fakes.Network, s *fakes.Store, c *store.Client) {
				test.fault(n, s)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := c.Put(ctx, store.Put{Key: "fabric/f1", Value: []byte("x")})
				is.Equal(kindOfStoreError(err), test.kind)
				n.Reset("a", "kv")
				if test.name == "no listener" {
					return
				}
				s.Down(false)
				s.Hang(false)
				s.Delay(0)
				_, err = c.Get(t.Context(), "fabric/f1")
				is.Equal(err == nil, test.done)
			})
		})
	}
}

// A write or deletion succeeds only at the key's present revision, and a value
// above the maximum size is refused.
func TestStoreCompareAndSwap(t *testing.T) {
	withStore(t, func(t *testing.T, is *is.I, _ *fakes.Network, s *fakes.Store, c *store.Client) {
		ctx := t.Context()
		first, err := c.Put(ctx, store.Put{Key: "a", Value: []byte("1")})
		is.NoErr(err)
		_, err = c.Put(ctx, store.Put{Key: "a", Value: []byte("2")})
		is.Equal(kindOfStoreError(err), store.Conflict)
		second, err := c.Put(ctx, store.Put{Key: "a", Value: []byte("2"), Prev: first})
		is.NoErr(err)
		is.True(second > first)
		is.Equal(kindOfStoreError(c.Delete(ctx, "a", first)), store.Conflict)
		is.NoErr(c.Delete(ctx, "a", second))
		is.Equal(kindOfStoreError(c.Delete(ctx, "a", second)), store.NotFound)
		_, err = c.Put(ctx, store.Put{Key: "b", Value: make([]byte, fakes.MaxValue+1)})
		is.Equal(kindOfStoreError(err), store.Invalid)
		is.Equal(s.Counts().Writes, uint64(7))
	})
}

// A watch returns at the end of its wait, at a change, when a lease expires,
// when the history was compacted, and when the store becomes unavailable.
func TestStoreWatch(t *testing.T) {
	withStore(t, func(t *testing.T, is *is.I, _ *fakes.Network, s *fakes.Store, c *store.Client) {
		ctx := t.Context()
		start := time.Now()
		listing, err := c.Watch(ctx, "a/", 0, 10*time.Second)
		is.NoErr(err)
		is.Equal(len(listing.Entries), 0)
		is.Equal(time.Since(start), 10*time.Second)
		lease, err := c.Grant(ctx, 5*time.Second)
		is.NoErr(err)
		_, err = c.Put(ctx, store.Put{Key: "b/1", Value: []byte("x")})
		is.NoErr(err)
		revision, err := c.Put(ctx, store.Put{Key: "a/1", Value: []byte("x"), Lease: lease.ID})
		is.NoErr(err)
		listing, err = c.Watch(ctx, "a/", 0, time.Minute)
		is.NoErr(err)
		is.Equal(len(listing.Entries), 1)
		is.Equal(listing.Revision, revision)
		time.Sleep(4 * time.Second)
		is.NoErr(c.KeepAlive(ctx, lease.ID))
		start = time.Now()
		listing, err = c.Watch(ctx, "a/", revision, time.Minute)
		is.NoErr(err)
		is.True(listing.Entries[0].Deleted)
		is.Equal(time.Since(start), 5*time.Second)
		is.Equal(kindOfStoreError(c.KeepAlive(ctx, lease.ID)), store.NotFound)
		s.Compact()
		listing, err = c.Watch(ctx, "a/", revision, time.Minute)
		is.NoErr(err)
		is.True(listing.Compacted)
		time.AfterFunc(time.Second, func() { s.Down(true) })
		_, err = c.Watch(ctx, "a/", listing.Revision, time.Minute)
		is.Equal(kindOfStoreError(err), store.Unavailable)
	})
}

// A change of the list of instances becomes visible after the lag.
func TestStoreInstances(t *testing.T) {
	withStore(t, func(t *testing.T, is *is.I, _ *fakes.Network, s *fakes.Store, c *store.Client) {
		s.SetLag(2*time.Second, 0)
		s.SetInstances(store.Instance{ID: "i1", Status: store.Live})
		instances, err := c.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(instances), 0)
		time.Sleep(2 * time.Second)
		instances, err = c.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(instances), 1)
	})
}
