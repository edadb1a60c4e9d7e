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
	"clementinehead.example/chead/store"
)

const (
	registerEvery = 2 * time.Second
	callTimeout   = 5 * time.Second // of a call to the store's process, loads excepted
)

// platform is the store's process as the other stand-ins see it, at an URL
// without a path. Do sends a request.
type platform struct {
	base string
	do   func(*http.Request) (*http.Response, error)
}

func newPlatform(base string) platform {
	return platform{base: base, do: http.DefaultClient.Do}
}

// register tells the list of instances of an engine again and again, and takes
// it out of the list at the end.
func (p platform) register(instance store.Instance) actor {
	return func(ctx context.Context) error {
		path := "/v1/instances/" + url.PathEscape(instance.ID)
		ticker := time.NewTicker(registerEvery)
		defer ticker.Stop()
		for {
			_ = p.call(ctx, http.MethodPut, path, instance, nil) // repeated soon
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return p.call(context.WithoutCancel(ctx), http.MethodDelete, path, nil, nil)
			}
		}
	}
}

// weights loads a number of gigabytes from the weight store for each order.
func (p platform) weights(gigabytes float64) func(context.Context, engine.Order) error {
	return func(ctx context.Context, _ engine.Order) error {
		return p.send(ctx, http.MethodGet, fmt.Sprintf("%s?size=%g", pathWeights, gigabytes), nil, nil)
	}
}

// began counts a run of a key, before the run goes on.
func (p platform) began(key string) {
	_ = p.call(context.Background(), http.MethodPost, runsPath(key), nil, nil)
}

// runs returns how often a key was run, over all engines and services.
func (p platform) runs(ctx context.Context, key string) (int, error) {
	var count fakes.Runs
	err := p.call(ctx, http.MethodGet, runsPath(key), nil, &count)
	return count.Runs, err
}

// violations returns what was broken towards the engines of the list, by the
// breach's name. An engine that does not answer is passed over.
func (p platform) violations(ctx context.Context) (map[string]int, error) {
	var instances []store.Instance
	if err := p.call(ctx, http.MethodGet, "/v1/instances", nil, &instances); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, instance := range instances {
		e := platform{base: "http://" + instance.Address, do: p.do}
		var found []fakes.Violation
		if e.call(ctx, http.MethodGet, "/fake/violations", nil, &found) != nil {
			continue
		}
		for _, v := range found {
			counts[v.Breach.String()]++
		}
	}
	return counts, nil
}

func runsPath(key string) string { return pathRuns + "?key=" + url.QueryEscape(key) }

func (p platform) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.send(ctx, method, path, in, out)
}

func (p platform) send(ctx context.Context, method, path string, in, out any) error {
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
