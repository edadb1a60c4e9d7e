package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// entries are the addresses to use, as the system names them. They are asked
// for anew when the answer no longer holds.
type entries struct {
	seeds []string
	do    func(*http.Request) (*http.Response, error)

	mu        sync.Mutex
	addresses []string
	until     time.Time
	turn      int
}

// askTimeout bounds the wait for the addresses.
const askTimeout = 2 * time.Second

var errNoEntry = errors.New("no daemon names an address")

// next returns the address for the next attempt, in turn.
func (e *entries) next(ctx context.Context) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.addresses) == 0 || time.Now().After(e.until) {
		e.refresh(ctx)
	}
	if len(e.addresses) == 0 {
		return "", errNoEntry
	}
	e.turn++
	return e.addresses[e.turn%len(e.addresses)], nil
}

// refresh is called with the lock held.
func (e *entries) refresh(ctx context.Context) {
	for _, seed := range append(e.seeds, e.addresses...) {
		addresses, hold, err := e.ask(ctx, seed)
		if err == nil && len(addresses) > 0 {
			e.addresses = addresses
			e.until = time.Now().Add(hold)
			return
		}
	}
}

func (e *entries) ask(ctx context.Context, seed string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	var addresses []string
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	hold, err := time.ParseDuration(answer.Hold)
	return addresses, hold, err
}
