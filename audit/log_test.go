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

// withLog runs a test with a running Log over a fake store.
func withLog(t *testing.T, test func(is *is.I, s *fakes.Store, log *audit.Log)) {
	synctest.Test(t, func(t *testing.T) {
		network, s := fakes.NewNetwork(), fakes.NewStore()
		defer network.Close()
		network.Serve("kv:80", s)
		log := audit.New(audit.Options{
			Daemon: "d1", Boot: 7, Store: store.New("http://kv:80", network.Client("d1").Do), Logger: logr.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- log.Run(ctx) }()
		defer func() {
			cancel()
			<-done
		}()
		test(is.New(t), s, log)
	})
}

func newEntry(n int) audit.Entry {
	return audit.Entry{
		ID: fmt.Sprintf("e%05d", n), At: time.Now(), Who: "w", Action: "edit", Subject: "limits", Cause: "test",
		After: json.RawMessage(fmt.Sprint(n)),
	}
}

func TestLogUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		fault   func(s *fakes.Store)
		want    int // number of entries read afterwards, without the last one
	}{
		{"none", 3, func(*fakes.Store) {}, 3},
		{"answers lost", 3, func(s *fakes.Store) { s.LoseAnswers(3) }, 3},
		{"outage", 900, func(s *fakes.Store) { s.Down(true) }, 900},
		{"silence", 3, func(s *fakes.Store) { s.Hang(true) }, 3},
		{"outage with too many entries", 3000, func(s *fakes.Store) { s.Down(true) }, 1024 + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withLog(t, func(is *is.I, s *fakes.Store, log *audit.Log) {
				start := time.Now()
				test.fault(s)
				for n := range test.entries {
					log.Add(newEntry(n))
				}
				time.Sleep(time.Minute)
				s.Down(false)
				s.Hang(false)
				log.Add(newEntry(99999))
				time.Sleep(time.Minute)
				entries, err := log.Read(context.Background(), start, time.Now())
				is.NoErr(err)
				is.Equal(len(entries), test.want+1)
				dropped := test.want < test.entries
				is.Equal(hasDropEntry(entries), dropped)
			})
		})
	}
}

func hasDropEntry(entries []audit.Entry) bool {
	return slices.ContainsFunc(entries, func(e audit.Entry) bool {
		return strings.Contains(e.Cause, "entries of this daemon did not fit")
	})
}

func TestReadOnceAndInOrder(t *testing.T) {
	withLog(t, func(is *is.I, _ *fakes.Store, log *audit.Log) {
		start := time.Now()
		for range 3 {
			log.Add(newEntry(1)) // the same entry, as several daemons write it
			time.Sleep(2 * time.Second)
		}
		time.Sleep(24 * time.Hour)
		log.Add(newEntry(2))
		time.Sleep(2 * time.Second)
		entries, err := log.Read(context.Background(), start, time.Now())
		is.NoErr(err)
		is.Equal(len(entries), 2)
		is.Equal(entries[0].ID, "e00001")

		entries, err = log.Read(context.Background(), start, start.Add(time.Hour))
		is.NoErr(err)
		is.Equal(len(entries), 1)
		_, err = log.Read(context.Background(), start, start.Add(-time.Hour))
		is.True(err != nil)
	})
}

func TestShutdownWritesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, s := fakes.NewNetwork(), fakes.NewStore()
		defer network.Close()
		network.Serve("kv:80", s)
		log := audit.New(audit.Options{Daemon: "d1", Store: store.New("http://kv:80", network.Client("d1").Do), Logger: logr.Discard()})
		log.Add(newEntry(1))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(log.Run(ctx))
		entries, err := log.Read(t.Context(), time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
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
