package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

// TestAtMostOnce sends a call that isn't repeatable, and sends it again through
// another daemon, under one fault each. The service counts the runs.
func TestAtMostOnce(t *testing.T) {
	marked := map[string]string{"X-Request-Id": "deposit-7", "X-Repeatable": "no"}
	tests := []struct {
		name          string
		before        func(cl *cluster)
		between       func(cl *cluster)
		first, second string // "complete" or a code
		runs          int
	}{
		{name: "no fault", first: "complete", second: "complete", runs: 1},
		{name: "answer lost", before: func(cl *cluster) { cl.plain.LoseAnswers(1) }, first: "broken", second: "unsettled", runs: 1},
		{
			name: "answer lost, and the store's",
			before: func(cl *cluster) {
				cl.plain.LoseAnswers(1)
				time.AfterFunc(500*time.Millisecond, func() { cl.store.Down(true) })
				cl.plain.Delay(time.Second)
			},
			between: func(cl *cluster) { time.Sleep(time.Minute); cl.store.Down(false) },
			first:   "broken", second: "pending", runs: 1,
		},
		{
			name:    "answer lost, much later",
			before:  func(cl *cluster) { cl.plain.LoseAnswers(1) },
			between: func(*cluster) { time.Sleep(time.Hour) },
			first:   "broken", second: "unsettled", runs: 1,
		},
		{name: "claim's answer lost", before: func(cl *cluster) { cl.store.LoseAnswers(1) }, first: "complete", second: "complete", runs: 1},
		{name: "store down", before: storeDown, between: func(cl *cluster) { cl.store.Down(false) }, first: "records", second: "complete", runs: 1},
		{name: "store down later", between: storeDown, first: "complete", second: "records", runs: 1},
		{
			name:    "services gone",
			before:  func(cl *cluster) { cl.network.Kill("p0"); cl.network.Kill("p1") },
			between: func(cl *cluster) { cl.network.Serve("p0:80", cl.plain); cl.network.Serve("p1:80", cl.plain) },
			first:   "unavailable", second: "complete", runs: 1,
		},
		{
			name: "silent",
			before: func(cl *cluster) {
				cl.plain.Delay(time.Second)
				time.AfterFunc(500*time.Millisecond, func() { cl.network.Silence("d0", "p0") })
			},
			first: "timeout", second: "unsettled", runs: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 2, document(), fakes.EngineOptions{}, func(cl *cluster) {
				is := is.New(cl.t)
				call := func(to int) reply {
					return cl.send(request{to: to, path: "/services/ledger/deposits", body: "$20", headers: marked})
				}
				outcome := func(r reply) string {
					if r.err == nil && r.status == 200 {
						return "complete"
					}
					return r.reason.Code
				}
				if test.before != nil {
					test.before(cl)
				}
				first := call(0)
				is.Equal(outcome(first), test.first)
				if first.reason.Ran == "no" {
					is.Equal(cl.plain.Runs("deposit-7"), 0)
				}
				time.Sleep(time.Second) // the answer is recorded in the background
				if test.between != nil {
					test.between(cl)
				}
				second := call(1)
				is.Equal(outcome(second), test.second)
				if test.first == "complete" && test.second == "complete" {
					is.Equal(string(second.body), string(first.body))
					is.Equal(second.header.Get("X-Replayed"), "yes")
				}
				is.Equal(cl.plain.Runs("deposit-7"), test.runs)
			})
		})
	}
}

// TestTransportSendsOnce resets connections that were in use before. A
// transport that reuses connections would repeat a call on a new one.
func TestTransportSendsOnce(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		for i := range 20 {
			key := fmt.Sprint("key-", i)
			cl.plain.LoseAnswers(i % 2)
			cl.send(request{
				method: []string{"GET", "GET", "POST", "POST"}[i%4], path: "/services/ledger/x", body: "x",
				headers: map[string]string{"Idempotency-Key": key},
			})
			is.True(cl.plain.Runs(key) <= 1)
		}
	})
}

// TestReusedKey checks that an idempotency key stands for one body, per
// account.
func TestReusedKey(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		key := map[string]string{"Idempotency-Key": "k"}
		is.Equal(cl.send(request{prompt: "a", headers: key}).text, fakes.Answer("a", 1))
		is.Equal(cl.send(request{prompt: "b", headers: key}).reason.Code, "reused")
		// The same key of another account is independent.
		is.Equal(cl.send(request{prompt: "b", headers: key, key: yardKey}).text, fakes.Answer("b", 1))
	})
}

// TestConcurrentAttempts sends one call many times at once through three
// daemons.
func TestConcurrentAttempts(t *testing.T) {
	withCluster(t, 3, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		cl.plain.Delay(time.Second)
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				cl.send(request{
					to: i % 3, host: fmt.Sprint("c", i), path: "/services/ledger/x", body: "x",
					headers: map[string]string{"X-Request-Id": "one"},
				})
			})
		}
		group.Wait()
		is.Equal(cl.plain.Runs("one"), 1)
	})
}

// TestCallerGone checks that a request that isn't repeatable runs to its end
// after its caller has disconnected, and that a later attempt gets its answer.
func TestCallerGone(t *testing.T) {
	options := fakes.EngineOptions{Token: 100 * time.Millisecond}
	withCluster(t, 2, document(), options, func(cl *cluster) {
		is := is.New(cl.t)
		marked := request{prompt: "p", tokens: 30, stream: true, headers: map[string]string{"Idempotency-Key": "k"}}
		time.AfterFunc(time.Second, func() { cl.network.Reset("caller", "d0") })
		got := cl.send(marked)
		is.True(!got.complete)
		time.Sleep(10 * time.Second)
		marked.to = 1
		got = cl.send(marked)
		is.True(got.complete)
		is.Equal(got.text, fakes.Answer("p", 30))
		is.Equal(cl.runs("p"), 1)
	})
}
