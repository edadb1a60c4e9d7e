package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/tally"
)

// TestSamples checks what is counted of each request for the report.
func TestSamples(t *testing.T) {
	options := fakes.EngineOptions{First: time.Second, Token: 100 * time.Millisecond}
	within(t, 1, document(), options, func(w *world) {
		is := is.New(w.t)
		w.send(ask{prompt: "p", tokens: 3, stream: true})
		w.send(ask{body: `{"model":"made up"}`})
		w.send(ask{path: "/services/made-up/x", body: "x"})
		w.send(ask{path: "/services/lookup/x", body: "x"})
		for range 2 {
			w.send(ask{prompt: "once", headers: map[string]string{"Idempotency-Key": "k"}})
			time.Sleep(time.Second)
		}
		w.send(ask{key: "wrong"})
		var got []string
		for _, s := range w.samples {
			got = append(got, fmt.Sprint(s.Account, " ", s.Model, " ", s.Outcome, " ", s.Ran, " ", s.Tokens))
		}
		is.Equal(got, []string{
			"desk m served Yes 3",
			"desk  model No 0",
			"desk  service No 0",
			"desk /services/lookup served Yes 0",
			"desk m served Yes 1",
			"desk m replayed Yes 0",
		})
		first := w.samples[0]
		is.Equal(first.First, time.Second)
		is.Equal(first.Gaps, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond})
		is.Equal(first.Version, "1")
		is.Equal(engine.Yes, first.Ran)
		is.Equal(tally.Served, first.Outcome)
	})
}

// TestStoreCalls checks what a not-repeatable request costs the store.
func TestStoreCalls(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		for i := range 10 {
			w.send(ask{prompt: "p", headers: map[string]string{"Idempotency-Key": fmt.Sprint(i)}})
			w.send(ask{prompt: "p"})
		}
		time.Sleep(time.Minute)
		counts := w.store.Counts()
		is.Equal(counts.Writes, uint64(20)) // a claim and an end each
		is.Equal(counts.Reads, uint64(0))
	})
}
