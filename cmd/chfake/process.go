package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/store"
)

const (
	registerEvery = 2 * time.Second
	callTimeout   = 5 * time.Second // for a call to the store's process, except for loading weights
)

// processClient calls the store's process, or another simulated process. The base is
// a URL without a path, and do sends a request.
type processClient struct {
	base string
	do   func(*http.Request) (*http.Response, error)
}

func newProcessClient(base string) processClient {
	return processClient{base: base, do: reply.Default.Do}
}

// register returns an actor that registers an engine in the list of instances every
// registerEvery, and removes it from the list at the end.
func (p processClient) register(instance store.Instance) actor {
	return func(ctx context.Context) error {
		path := "/v1/instances/" + url.PathEscape(instance.ID)
		ticker := time.NewTicker(registerEvery)
		defer ticker.Stop()
		for {
			_ = p.call(ctx, http.MethodPut, path, instance, nil) // repeated at the next tick
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return p.call(context.WithoutCancel(ctx), http.MethodDelete, path, nil, nil)
			}
		}
	}
}

// loadWeights returns a function that loads the given number of gigabytes from the
// weight store for an order.
func (p processClient) loadWeights(gigabytes float64) func(context.Context, engine.Order) error {
	return func(ctx context.Context, _ engine.Order) error {
		return p.send(ctx, http.MethodGet, fmt.Sprintf("%s?size=%g", pathWeights, gigabytes), nil, nil)
	}
}

// countRun counts a run of a key. It returns after the count, so that no run goes on
// before it is counted.
func (p processClient) countRun(key string) {
	_ = p.call(context.Background(), http.MethodPost, runsPath(key), nil, nil)
}

// runs returns the number of runs of a key, on all engines and services together.
func (p processClient) runs(ctx context.Context, key string) (int, error) {
	var count fakes.Runs
	err := p.call(ctx, http.MethodGet, runsPath(key), nil, &count)
	return count.Runs, err
}

// violations returns the number of violations that the listed engines have recorded,
// by the name of the breach. An engine that does not answer is skipped.
func (p processClient) violations(ctx context.Context) (map[string]int, error) {
	var instances []store.Instance
	if err := p.call(ctx, http.MethodGet, "/v1/instances", nil, &instances); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, instance := range instances {
		e := processClient{base: "http://" + instance.Address, do: p.do}
		var violations []fakes.Violation
		if e.call(ctx, http.MethodGet, "/fake/violations", nil, &violations) != nil {
			continue
		}
		for _, v := range violations {
			counts[v.Breach.String()]++
		}
	}
	return counts, nil
}

// runsPath returns the path and query for the runs of a key.
func runsPath(key string) string { return pathRuns + "?key=" + url.QueryEscape(key) }

// call is send with a time limit of callTimeout.
func (p processClient) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.send(ctx, method, path, in, out)
}

// send sends in as JSON and decodes the answer into out, unless out is nil. A status
// other than 200 is an error.
func (p processClient) send(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := p.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, path, response.Status)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
