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

	"clementinehead.example/chead/mimic"
)

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
	callerTries    = 3
	guideTimeout   = time.Second
)

// outcome counts how the requests ended.
type outcome struct {
	mu                    sync.Mutex
	served, refused, lost int
}

// Run sends the load and fails where a request got no whole answer.
func (c callerCommand) Run() error {
	var calls sync.WaitGroup
	var ends outcome
	for i := range c.Requests {
		calls.Go(func() { c.request(i, &ends) })
		time.Sleep(time.Second / time.Duration(c.Rate))
	}
	calls.Wait()
	fmt.Printf("served %d, refused %d, lost %d of %d\n", ends.served, ends.refused, ends.lost, c.Requests)
	if ends.lost > 0 || ends.refused > 0 {
		return errors.New("not all requests were served")
	}
	return nil
}

// request sends one request, again after a refusal that says when to come back.
func (c callerCommand) request(n int, ends *outcome) {
	for try := range callerTries {
		status, after, whole := c.attempt(strconv.Itoa(n) + "-" + strconv.Itoa(try))
		if status == http.StatusOK && whole {
			ends.note(&ends.served)
			return
		}
		if status != http.StatusServiceUnavailable {
			ends.note(&ends.lost)
			return
		}
		time.Sleep(after)
	}
	ends.note(&ends.refused)
}

func (o *outcome) note(count *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count++
}

func (c callerCommand) attempt(id string) (status int, after time.Duration, whole bool) {
	address, err := c.address()
	if err != nil {
		return http.StatusServiceUnavailable, time.Second, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	r, err := mimic.Call{Address: address, Path: c.Path, ID: id, Model: c.Model, Key: c.Key, Deadline: callerDeadline}.Request(ctx)
	if err != nil {
		return 0, 0, false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, mimic.After(response), err == nil && string(body) == mimic.Stream(c.Events)
}

// address asks a daemon where to connect, the next one where it doesn't tell.
func (c callerCommand) address() (string, error) {
	failed := errors.New("no daemon is ready")
	for _, i := range rand.Perm(len(c.Guides)) {
		named, err := c.ask(c.Guides[i])
		if err != nil {
			failed = err
		}
		if len(named) > 0 {
			return named[rand.IntN(len(named))], nil
		}
	}
	return "", failed
}

func (c callerCommand) ask(guide string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), guideTimeout)
	defer cancel()
	return mimic.Resolve(ctx, http.DefaultClient, guide)
}
