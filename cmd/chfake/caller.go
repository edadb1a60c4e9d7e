package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/simul"
)

// callerCommand holds the flags of "chfake caller".
type callerCommand struct {
	Guides   []string `required:"" help:"host:port of daemons that tell where to connect."`
	Path     string   `default:"/talk/" help:"Path of the requests."`
	Model    string   `default:"m" help:"Model."`
	Key      string   `default:"good-key" help:"Key of the client account."`
	Requests int      `default:"200" help:"Requests to send."`
	Rate     int      `default:"40" help:"Requests a second."`
	Events   int      `default:"30" help:"Events that a whole stream has."`
}

const (
	callerDeadline = 8 * time.Second
	callerAttempts = 3
	guideTimeout   = time.Second
)

// outcomeCounts counts the requests by outcome.
type outcomeCounts struct {
	mu                    sync.Mutex
	served, refused, lost int
}

// Run sends the load. It returns an error if a request got no complete answer.
func (c callerCommand) Run() error {
	var calls sync.WaitGroup
	var counts outcomeCounts
	for i := range c.Requests {
		calls.Go(func() { c.request(i, &counts) })
		time.Sleep(time.Second / time.Duration(c.Rate))
	}
	calls.Wait()
	fmt.Printf("served %d, refused %d, lost %d of %d\n", counts.served, counts.refused, counts.lost, c.Requests)
	if counts.lost > 0 || counts.refused > 0 {
		return errors.New("not all requests were served")
	}
	return nil
}

// request sends one request, up to callerAttempts times. It repeats the request only
// after Service Unavailable, and after the wait that the answer asks for.
func (c callerCommand) request(n int, counts *outcomeCounts) {
	for i := range callerAttempts {
		status, wait, whole := c.attempt(strconv.Itoa(n) + "-" + strconv.Itoa(i))
		if status == http.StatusOK && whole {
			counts.increment(&counts.served)
			return
		}
		if status != http.StatusServiceUnavailable {
			counts.increment(&counts.lost)
			return
		}
		time.Sleep(wait)
	}
	counts.increment(&counts.refused)
}

// increment adds 1 to one of the counts.
func (o *outcomeCounts) increment(count *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count++
}

// attempt sends a request once. It returns the status, the wait that the answer
// asks for, and whether the answer was complete. The status is 0 if there was no
// answer, and that of Service Unavailable if no daemon named an address.
func (c callerCommand) attempt(id string) (status int, wait time.Duration, whole bool) {
	address, err := c.address()
	if err != nil {
		return http.StatusServiceUnavailable, time.Second, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	r, err := simul.Call{Address: address, Path: c.Path, ID: id, Model: c.Model, Key: c.Key, Deadline: callerDeadline}.Request(ctx)
	if err != nil {
		return 0, 0, false
	}
	response, err := reply.Default.Do(r)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, simul.RetryAfter(response), err == nil && string(body) == simul.NamedStreamBody(c.Events, id)
}

// address returns an address to connect to. It requests the addresses from the
// daemons in random order until one of them names any.
func (c callerCommand) address() (string, error) {
	lastErr := errors.New("no daemon is ready")
	for _, i := range rand.Perm(len(c.Guides)) {
		addresses, err := c.resolve(c.Guides[i])
		if err != nil {
			lastErr = err
		}
		if len(addresses) > 0 {
			return addresses[rand.IntN(len(addresses))], nil
		}
	}
	return "", lastErr
}

// resolve requests the addresses from one daemon.
func (c callerCommand) resolve(guide string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), guideTimeout)
	defer cancel()
	return simul.Resolve(ctx, reply.Default, guide)
}
