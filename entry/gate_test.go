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

// useGate replaces the simulated gates by a real gate until stop.
func (cl *cluster) useGate() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := engine.New(cl.network.Client("d0").Do)
	client.Limits = func() engine.Limits { return engine.Limits{First: time.Second, Gap: time.Second} }
	cl.realGate = gate.New(gate.Options{
		Self: "d0", Boot: 1,
		View:       cl.view.Load,
		Changed:    func() <-chan struct{} { return nil },
		Daemons:    cl.daemons,
		VerifiedAt: time.Now,
		Probe:      client.Probe,
		Feed:       client.Feed,
		Client:     func(string) wire.GateClient { return unreachable{} },
		Log:        logr.Discard(),
		Rand:       rand.New(rand.NewPCG(1, 1)),
	})
	var group sync.WaitGroup
	group.Go(func() { _ = cl.realGate.Run(ctx) })
	time.Sleep(time.Minute)
	return func() {
		cancel()
		group.Wait()
	}
}

// TestNeighboursAreServed has one request crash each endpoint that runs it,
// while others are in the same batch. It may cost two replicas. The others must
// get their answers when they retry as the refusals say.
func TestNeighboursAreServed(t *testing.T) {
	options := fakes.EngineOptions{First: 500 * time.Millisecond, Token: 20 * time.Millisecond, Reboot: 3 * time.Second}
	withCluster(t, 2, document(), options, func(cl *cluster) {
		is := is.New(cl.t)
		defer cl.useGate()()
		for i := range 40 { // warm up
			got := cl.send(request{prompt: fmt.Sprint("warm ", i)})
			if !got.complete {
				cl.t.Fatalf("%+v %+v", got.reason, cl.realGate.Status())
			}
		}
		var group sync.WaitGroup
		for i := range 5 {
			group.Go(func() {
				time.Sleep(100 * time.Millisecond)
				prompt := fmt.Sprint("neighbour ", i)
				got := cl.sendUntilDone(request{to: i % 2, host: fmt.Sprint("c", i), prompt: prompt, tokens: 20})
				is.Equal(got.reason.Code, "")
				is.Equal(got.text, fakes.Answer(prompt, 20))
			})
		}
		group.Go(func() {
			got := cl.sendUntilDone(request{body: `{"model":"m","prompt":"poison","user":"crash"}`})
			is.Equal(got.reason.Code, "suspect")
		})
		for i := range 8 {
			time.AfterFunc(time.Duration(i+1)*5*time.Second, func() { cl.order(i % 2) })
		}
		group.Wait()
		is.True(cl.runs("poison") <= 2)
	})
}

// sendUntilDone sends a request again as long as the refusal says that it
// helps.
func (cl *cluster) sendUntilDone(r request) reply {
	for range 30 {
		got := cl.send(r)
		if got.complete || got.reason.Retry == 0 {
			return got
		}
		time.Sleep(time.Duration(got.reason.Retry))
	}
	return reply{}
}
