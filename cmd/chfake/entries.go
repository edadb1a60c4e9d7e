package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// entries are the callers' addresses of the daemons, as the system names them. They
// are fetched again when the answer has expired.
type entries struct {
	seeds []string
	do    func(*http.Request) (*http.Response, error)

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	index     int
}

// fetchTimeout limits the wait for the addresses from one daemon.
const fetchTimeout = 2 * time.Second

// errNoEntry means that no daemon has named an address so far.
var errNoEntry = errors.New("no daemon names an address")

// next returns the address for the next attempt, round robin.
func (e *entries) next(ctx context.Context) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.addresses) == 0 || time.Now().After(e.expires) {
		e.refresh(ctx)
	}
	if len(e.addresses) == 0 {
		return "", errNoEntry
	}
	e.index++
	return e.addresses[e.index%len(e.addresses)], nil
}

// refresh fetches the addresses from the first seed or known address that answers.
// It keeps the old ones if none does. The caller holds the lock.
func (e *entries) refresh(ctx context.Context) {
	for _, seed := range append(e.seeds, e.addresses...) {
		addresses, hold, err := e.fetch(ctx, seed)
		if err == nil && len(addresses) > 0 {
			e.addresses = addresses
			e.expires = time.Now().Add(hold)
			return
		}
	}
}

// fetch returns the addresses that one daemon names, and how long they may be used.
func (e *entries) fetch(ctx context.Context, seed string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entries", nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := e.do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		Hold string `json:"hold"`
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, err
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, 0, err
	}
	var addresses []string
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	hold, err := time.ParseDuration(answer.Hold)
	return addresses, hold, err
}
