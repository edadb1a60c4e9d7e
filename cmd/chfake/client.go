package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"clementinehead.example/chead/reply"
)

// clientCommand holds the flags of "chfake client".
type clientCommand struct {
	Entry    []string      `required:"" help:"Callers' address of a daemon, host:port; it is asked which addresses to use. May be repeated."`
	Key      string        `required:"" help:"Bearer key of the client account."`
	Model    []string      `required:"" help:"Model to ask for. May be repeated."`
	Service  string        `help:"Plain service to call."`
	Store    string        `required:"" help:"URL of the store's process, which counts the runs."`
	Requests int           `default:"500" help:"Requests to send."`
	Rate     float64       `default:"50" help:"Requests a second."`
	Workers  int           `default:"32" help:"Requests in progress at most."`
	Tokens   int           `default:"24" help:"Tokens of an answer."`
	Streamed float64       `default:"0.5" help:"Share of completions that are streamed."`
	Once     float64       `default:"0.1" help:"Share of completions that are not repeatable."`
	Calls    float64       `default:"0.1" help:"Share of requests that go to the plain service, not repeatable."`
	Tries    int           `default:"8" help:"Times that a request is sent at most."`
	Timeout  time.Duration `default:"20s" help:"Longest wait for one answer."`
	Seed     uint64        `default:"1" help:"Seed of the mix of requests."`
}

// errViolated is the error of a run in which the system broke a guarantee.
var errViolated = errors.New("requests were lost, doubled or refused untruly, or a cold endpoint was overloaded")

// Run sends the load and prints a summary. It returns an error if a request was
// lost, a non-repeatable request ran twice, a request that was refused as not run
// had run, or a cold endpoint was overloaded.
func (c clientCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	client := &http.Client{Transport: reply.NewTransport(&http.Transport{MaxIdleConnsPerHost: c.Workers})}
	s := &sender{
		command: c,
		do:      client.Do,
		entries: &entries{seeds: c.Entry, do: client.Do},
	}
	sum := newSummary()
	if err := c.load(ctx, s, sum); err != nil {
		return err
	}
	if err := sum.verify(ctx, newProcessClient(c.Store)); err != nil {
		return err
	}
	sum.print(os.Stdout)
	if sum.violated() {
		return errViolated
	}
	return nil
}

// load sends the requests at the configured rate and adds their outcomes to the
// summary.
func (c clientCommand) load(ctx context.Context, s *sender, sum *summary) error {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	limiter := rate.NewLimiter(rate.Limit(c.Rate), 1)
	var group errgroup.Group
	group.SetLimit(c.Workers)
	for i := range c.Requests {
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		r := c.plan(i, random)
		group.Go(func() error {
			sum.add(s.send(ctx, r))
			return nil
		})
	}
	return group.Wait()
}
