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

// TestSamples checks what is counted of each request for the usage report.
func TestSamples(t *testing.T) {
	options := fakes.EngineOptions{First: time.Second, Token: 100 * time.Millisecond}
	withCluster(t, 1, document(), options, func(cl *cluster) {
		is := is.New(cl.t)
		cl.send(request{prompt: "p", tokens: 3, stream: true})
		cl.send(request{body: `{"model":"made up"}`})
		cl.send(request{path: "/services/made-up/x", body: "x"})
		cl.send(request{path: "/services/lookup/x", body: "x"})
		for range 2 {
			cl.send(request{prompt: "once", headers: map[string]string{"Idempotency-Key": "k"}})
			time.Sleep(time.Second)
		}
		cl.send(request{key: "wrong"})
		var got []string
		for _, s := range cl.samples {
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
		first := cl.samples[0]
		is.Equal(first.FirstToken, time.Second)
		is.Equal(first.TokenGaps, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond})
		is.Equal(first.Version, "1")
		is.Equal(engine.Yes, first.Ran)
		is.Equal(tally.Served, first.Outcome)
	})
}

// TestStoreCalls checks the number of calls to the store for each request that
// isn't repeatable.
func TestStoreCalls(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		for i := range 10 {
			cl.send(request{prompt: "p", headers: map[string]string{"Idempotency-Key": fmt.Sprint(i)}})
			cl.send(request{prompt: "p"})
		}
		time.Sleep(time.Minute)
		counts := cl.store.Counts()
		is.Equal(counts.Writes, uint64(20)) // creation and end of each record
		is.Equal(counts.Reads, uint64(0))
	})
}
