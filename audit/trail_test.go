package audit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// withTrail runs a test with a running trail over a store.
func withTrail(t *testing.T, test func(is *is.I, s *fakes.Store, trail *audit.Trail)) {
	synctest.Test(t, func(t *testing.T) {
		network, s := fakes.NewNetwork(), fakes.NewStore()
		defer network.Close()
		network.Serve("kv:80", s)
		trail := audit.New(audit.Options{
			Daemon: "d1", Boot: 7, Store: store.New("http://kv:80", network.Client("d1").Do), Log: logr.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- trail.Run(ctx) }()
		defer func() {
			cancel()
			<-done
		}()
		test(is.New(t), s, trail)
	})
}

func entry(n int) audit.Entry {
	return audit.Entry{
		ID: fmt.Sprintf("e%05d", n), At: time.Now(), Who: "w", Action: "edit", Subject: "limits", Cause: "test",
		After: json.RawMessage(fmt.Sprint(n)),
	}
}

func TestTrailUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		fault   func(s *fakes.Store)
		kept    int // entries to be read afterwards, beside one more
	}{
		{"none", 3, func(*fakes.Store) {}, 3},
		{"answers lost", 3, func(s *fakes.Store) { s.LoseAnswers(3) }, 3},
		{"outage", 900, func(s *fakes.Store) { s.Down(true) }, 900},
		{"silence", 3, func(s *fakes.Store) { s.Hang(true) }, 3},
		{"outage with too many entries", 3000, func(s *fakes.Store) { s.Down(true) }, 1024 + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTrail(t, func(is *is.I, s *fakes.Store, trail *audit.Trail) {
				start := time.Now()
				test.fault(s)
				for n := range test.entries {
					trail.Add(entry(n))
				}
				time.Sleep(time.Minute)
				s.Down(false)
				s.Hang(false)
				trail.Add(entry(99999))
				time.Sleep(time.Minute)
				entries, err := trail.Read(context.Background(), start, time.Now())
				is.NoErr(err)
				is.Equal(len(entries), test.kept+1)
				dropped := test.kept < test.entries
				is.Equal(tellsDropped(entries), dropped)
			})
		})
	}
}

func tellsDropped(entries []audit.Entry) bool {
	return slices.ContainsFunc(entries, func(e audit.Entry) bool {
		return strings.Contains(e.Cause, "entries of this daemon did not fit")
	})
}

func TestReadOnceAndInOrder(t *testing.T) {
	withTrail(t, func(is *is.I, _ *fakes.Store, trail *audit.Trail) {
		start := time.Now()
		for range 3 {
			trail.Add(entry(1)) // as several daemons would
			time.Sleep(2 * time.Second)
		}
		time.Sleep(24 * time.Hour)
		trail.Add(entry(2))
		time.Sleep(2 * time.Second)
		entries, err := trail.Read(context.Background(), start, time.Now())
		is.NoErr(err)
		is.Equal(len(entries), 2)
		is.Equal(entries[0].ID, "e00001")

		entries, err = trail.Read(context.Background(), start, start.Add(time.Hour))
		is.NoErr(err)
		is.Equal(len(entries), 1)
		_, err = trail.Read(context.Background(), start, start.Add(-time.Hour))
		is.True(err != nil)
	})
}

func TestShutdownWritesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, s := fakes.NewNetwork(), fakes.NewStore()
		defer network.Close()
		network.Serve("kv:80", s)
		trail := audit.New(audit.Options{Daemon: "d1", Store: store.New("http://kv:80", network.Client("d1").Do), Log: logr.Discard()})
		trail.Add(entry(1))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(trail.Run(ctx))
		entries, err := trail.Read(t.Context(), time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
		is.NoErr(err)
		is.Equal(len(entries), 1)
	})
}

func ExampleDiff() {
	before, after := audit.Diff(
		json.RawMessage(`{"guild": {"rate": 1}, "smith": {"rate": 2}}`),
		json.RawMessage(`{"guild": {"rate": 1}, "smith": {"rate": 3}}`),
	)
	fmt.Println(string(before), string(after))
	// Output: {"smith":{"rate":2}} {"smith":{"rate":3}}
}
