package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

// TestAtMostOnce sends a not-repeatable call and sends it again through
// another daemon, under a fault each. Runs are counted at the service.
func TestAtMostOnce(t *testing.T) {
	marked := map[string]string{"X-Request-Id": "deposit-7", "X-Repeatable": "no"}
	tests := []struct {
		name          string
		before        func(w *world)
		between       func(w *world)
		first, second string // "whole" or a code
		runs          int
	}{
		{name: "no fault", first: "whole", second: "whole", runs: 1},
		{name: "answer lost", before: func(w *world) { w.plain.LoseAnswers(1) }, first: "broken", second: "unsettled", runs: 1},
		{
			name: "answer lost, and the store's",
			before: func(w *world) {
				w.plain.LoseAnswers(1)
				time.AfterFunc(500*time.Millisecond, func() { w.store.Down(true) })
				w.plain.Delay(time.Second)
			},
			between: func(w *world) { time.Sleep(time.Minute); w.store.Down(false) },
			first:   "broken", second: "pending", runs: 1,
		},
		{
			name:    "answer lost, much later",
			before:  func(w *world) { w.plain.LoseAnswers(1) },
			between: func(*world) { time.Sleep(time.Hour) },
			first:   "broken", second: "unsettled", runs: 1,
		},
		{name: "claim's answer lost", before: func(w *world) { w.store.LoseAnswers(1) }, first: "whole", second: "whole", runs: 1},
		{name: "store down", before: storeDown, between: func(w *world) { w.store.Down(false) }, first: "records", second: "whole", runs: 1},
		{name: "store down later", between: storeDown, first: "whole", second: "records", runs: 1},
		{
			name:    "services gone",
			before:  func(w *world) { w.network.Kill("p0"); w.network.Kill("p1") },
			between: func(w *world) { w.network.Serve("p0:80", w.plain); w.network.Serve("p1:80", w.plain) },
			first:   "unavailable", second: "whole", runs: 1,
		},
		{
			name: "silent",
			before: func(w *world) {
				w.plain.Delay(time.Second)
				time.AfterFunc(500*time.Millisecond, func() { w.network.Silence("d0", "p0") })
			},
			first: "timeout", second: "unsettled", runs: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, 2, document(), fakes.EngineOptions{}, func(w *world) {
				is := is.New(w.t)
				call := func(to int) reply {
					return w.send(ask{to: to, path: "/services/ledger/deposits", body: "$20", headers: marked})
				}
				outcome := func(r reply) string {
					if r.err == nil && r.status == 200 {
						return "whole"
					}
					return r.reason.Code
				}
				if test.before != nil {
					test.before(w)
				}
				first := call(0)
				is.Equal(outcome(first), test.first)
				if first.reason.Ran == "no" {
					is.Equal(w.plain.Runs("deposit-7"), 0)
				}
				time.Sleep(time.Second) // an answer is kept behind the caller's back
				if test.between != nil {
					test.between(w)
				}
				second := call(1)
				is.Equal(outcome(second), test.second)
				if test.first == "whole" && test.second == "whole" {
					is.Equal(string(second.body), string(first.body))
					is.Equal(second.header.Get("X-Replayed"), "yes")
				}
				is.Equal(w.plain.Runs("deposit-7"), test.runs)
			})
		})
	}
}

// TestTransportSendsOnce resets connections that were in use before. A
// transport that may use one again would send a call twice.
func TestTransportSendsOnce(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		for i := range 20 {
			key := fmt.Sprint("key-", i)
			w.plain.LoseAnswers(i % 2)
			w.send(ask{
				method: []string{"GET", "GET", "POST", "POST"}[i%4], path: "/services/ledger/x", body: "x",
				headers: map[string]string{"Idempotency-Key": key},
			})
			is.True(w.plain.Runs(key) <= 1)
		}
	})
}

func TestReusedKey(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		key := map[string]string{"Idempotency-Key": "k"}
		is.Equal(w.send(ask{prompt: "a", headers: key}).text, fakes.Answer("a", 1))
		is.Equal(w.send(ask{prompt: "b", headers: key}).reason.Code, "reused")
		// Another account's key of the same name is another key.
		is.Equal(w.send(ask{prompt: "b", headers: key, key: yard}).text, fakes.Answer("b", 1))
	})
}

// TestSendersAtOnce sends one call many times at once through three daemons.
func TestSendersAtOnce(t *testing.T) {
	within(t, 3, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		w.plain.Delay(time.Second)
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				w.send(ask{
					to: i % 3, host: fmt.Sprint("c", i), path: "/services/ledger/x", body: "x",
					headers: map[string]string{"X-Request-Id": "one"},
				})
			})
		}
		group.Wait()
		is.Equal(w.plain.Runs("one"), 1)
	})
}

// TestCallerGone checks that a not-repeatable request is finished when its
// caller has gone, and that its answer is there when the caller comes back.
func TestCallerGone(t *testing.T) {
	options := fakes.EngineOptions{Token: 100 * time.Millisecond}
	within(t, 2, document(), options, func(w *world) {
		is := is.New(w.t)
		marked := ask{prompt: "p", tokens: 30, stream: true, headers: map[string]string{"Idempotency-Key": "k"}}
		time.AfterFunc(time.Second, func() { w.network.Reset("caller", "d0") })
		got := w.send(marked)
		is.True(!got.whole)
		time.Sleep(10 * time.Second)
		marked.to = 1
		got = w.send(marked)
		is.True(got.whole)
		is.Equal(got.text, fakes.Answer("p", 30))
		is.Equal(w.runs("p"), 1)
	})
}
