package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/gate"
	"clementinehead.example/chead/wire"
)

// useGate puts a real gate in the place of the stand-in until stop.
func (w *world) useGate() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := engine.New(w.network.Client("d0").Do)
	client.Limits = func() engine.Limits { return engine.Limits{First: time.Second, Gap: time.Second} }
	w.real = gate.New(gate.Options{
		Self: "d0", Boot: 1,
		View:      w.view.Load,
		Changed:   func() <-chan struct{} { return nil },
		Daemons:   w.daemons,
		Confirmed: time.Now,
		Probe:     client.Probe,
		Feed:      client.Feed,
		Client:    func(string) wire.GateClient { return absent{} },
		Log:       logr.Discard(),
		Rand:      rand.New(rand.NewPCG(1, 1)),
	})
	var group sync.WaitGroup
	group.Go(func() { _ = w.real.Run(ctx) })
	time.Sleep(time.Minute)
	return func() {
		cancel()
		group.Wait()
	}
}

// TestNeighboursAreServed has one request crash each endpoint that runs it,
// while others are in the same batch. It costs two replicas; the others get
// their answers once they come back when told to.
func TestNeighboursAreServed(t *testing.T) {
	options := fakes.EngineOptions{First: 500 * time.Millisecond, Token: 20 * time.Millisecond, Reboot: 3 * time.Second}
	within(t, 2, document(), options, func(w *world) {
		is := is.New(w.t)
		defer w.useGate()()
		for i := range 40 { // warm up
			got := w.send(ask{prompt: fmt.Sprint("warm ", i)})
			if !got.whole {
				w.t.Fatalf("%+v %+v", got.reason, w.real.Status())
			}
		}
		var group sync.WaitGroup
		for i := range 5 {
			group.Go(func() {
				time.Sleep(100 * time.Millisecond)
				prompt := fmt.Sprint("neighbour ", i)
				got := w.persist(ask{to: i % 2, host: fmt.Sprint("c", i), prompt: prompt, tokens: 20})
				is.Equal(got.reason.Code, "")
				is.Equal(got.text, fakes.Answer(prompt, 20))
			})
		}
		group.Go(func() {
			got := w.persist(ask{body: `{"model":"m","prompt":"poison","user":"crash"}`})
			is.Equal(got.reason.Code, "suspect")
		})
		for i := range 8 {
			time.AfterFunc(time.Duration(i+1)*5*time.Second, func() { w.order(i % 2) })
		}
		group.Wait()
		is.True(w.runs("poison") <= 2)
	})
}

// persist sends a request again as long as that helps.
func (w *world) persist(a ask) reply {
	for range 30 {
		got := w.send(a)
		if got.whole || got.reason.Retry == 0 {
			return got
		}
		time.Sleep(time.Duration(got.reason.Retry))
	}
	return reply{}
}
