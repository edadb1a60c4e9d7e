package sight

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/mimic"
	"clementinehead.example/chead/platform"
)

const (
	configOne  = `{"version":5,"routes":[],"services":[],"limits":{}}`
	configTwo  = `{"version":9,"routes":[],"services":[],"limits":{}}`
	configOld  = `{"version":7,"routes":[],"services":[],"limits":{}}`
	entryReady = `{"service":"s","address":"127.0.0.1:1","zone":"north","slots":4,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1}`
	entryDrain = `{"service":"s","address":"127.0.0.1:1","zone":"north","slots":4,"state":"draining","cold_remaining_ms":0,"born":1,"sequence":2}`
)

type world struct {
	store *mimic.Store
	sight *Sight
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{store: mimic.NewStore()}
	at := httptest.NewServer(w.store)
	client := &http.Client{Transport: &http.Transport{}}
	w.sight = New(Options{
		Store: platform.NewStore(at.Listener.Addr().String(), client.Do), Boot: clock.Boot, Log: logr.Discard(),
		Pause: func() time.Duration { return time.Second }, Quick: func() bool { return true },
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.sight.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		client.CloseIdleConnections()
		at.Close()
	})
	return w
}

func (w *world) await(t *testing.T, what string, holds func(*View) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds(w.sight.View()) {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

func TestFollows(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.store.Put("op/config", []byte(configOne))
	w.store.Put("servers/e", []byte(entryReady))
	w.await(t, "first version", func(v *View) bool { return v.Config != nil && v.Config.Version == 5 && len(v.Endpoints) == 1 })
	w.store.Put("op/config", []byte(configTwo))
	w.store.Put("op/evacuate/north", []byte("{}"))
	w.await(t, "second version", func(v *View) bool { return v.Config.Version == 9 && v.Out["north"] })
	w.store.Put("op/config", []byte(configOld))
	w.store.Put("op/config", []byte("{"))
	w.store.Remove("op/evacuate/north")
	w.store.Put("servers/e", []byte(entryDrain))
	w.await(t, "draining", func(v *View) bool { return v.Endpoints["e"].Draining && !v.Out["north"] })
	is.Equal(w.sight.View().Config.Version, int64(9)) // never back, and never something unreadable
	w.store.Put("servers/e", []byte(`{"service":3}`))
	w.await(t, "an entry that can't be read names nobody", func(v *View) bool { return len(v.Endpoints) == 0 })
}

func TestHistoryGone(t *testing.T) {
	w := newWorld(t)
	w.store.Put("servers/a", []byte(entryReady))
	w.await(t, "a", func(v *View) bool { return len(v.Endpoints) == 1 })
	w.store.Remove("servers/a")
	w.store.Put("servers/b", []byte(entryReady))
	w.store.Compact()
	w.await(t, "b alone", func(v *View) bool {
		_, b := v.Endpoints["b"]
		return b && len(v.Endpoints) == 1
	})
}

// An entry that goes while the store is away is kept for as long as it may come
// back, then it is gone.
func TestLapse(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.store.Put("servers/e", []byte(entryReady))
	w.await(t, "e", func(v *View) bool { return len(v.Endpoints) == 1 })
	w.store.SetDown(true)
	time.Sleep(2 * answerLimit)
	w.store.Remove("servers/e")
	w.store.SetDown(false)
	w.await(t, "lapse", func(v *View) bool { return len(v.Lapsed) == 1 })
	is.Equal(len(w.sight.View().Endpoints), 1)
	w.await(t, "gone", func(v *View) bool { return len(v.Endpoints) == 0 })
}

// The proof of freshness never gets so old that a daemon with a good path to
// the store stops taking callers, whatever comes when.
func TestAgeIsBounded(t *testing.T) {
	w := newWorld(t)
	w.store.Put("op/config", []byte(configOne))
	w.await(t, "configuration", func(v *View) bool { return v.Config != nil })
	most := time.Duration(0)
	for i := range 160 {
		if i%31 == 0 {
			w.store.Put("servers/e", []byte(entryReady))
		}
		time.Sleep(50 * time.Millisecond)
		most = max(most, w.sight.Age())
	}
	if most > oldest+answerLimit/2 {
		t.Errorf("a view was %v old", most)
	}
}

// Changes come all the time, and the daemon asks for them once a pause. The pause
// ended with the time limit of the call before, 2.2 s after it began.
func TestPauseIsWhole(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	store := mimic.NewStore()
	at := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	defer at.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	s := New(Options{
		Store: platform.NewStore(at.Listener.Addr().String(), client.Do), Boot: clock.Boot, Log: logr.Discard(),
		Pause: func() time.Duration { return time.Hour }, Quick: func() bool { return false },
	})
	ctx, stop := context.WithTimeout(t.Context(), watchWait+answerLimit+time.Second)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	for ctx.Err() == nil {
		store.Put("servers/e", []byte(entryReady))
		time.Sleep(20 * time.Millisecond)
	}
	<-done
	is.Equal(calls.Load(), int64(2)) // a list and a watch
}
