package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/press"
)

const (
	followTimeout = 1100 * time.Millisecond // for a relay's response, beyond maxHold by what the network takes
	relayRetry    = 200 * time.Millisecond  // between requests to a relay that has lost the store, as this daemon has
	relayPenalty  = 3 * time.Second         // for which a relay that failed is not asked again
	// MinRelayedApply is the least time in which changes must be in force for a daemon to
	// have them from a relay: it leaves one that lost the store after maxRelayedAge and
	// relaySlack, and then reads the store.
	MinRelayedApply = 2900 * time.Millisecond

	maxRelayedAge = maxAge                  // a relay with an older snapshot has lost the store itself
	directPause   = 1500 * time.Millisecond // between two direct calls of a daemon whose relays have lost the store too
	relaySlack    = 300 * time.Millisecond  // for the response of a relay on its way
	maxRelayBytes = 8 << 20                 // bytes of the uncompressed items of a relay's response: those of 10,000 endpoints
)

// relayed is a relay's response.
type relayed struct {
	listing platform.Listing
	full    bool
	freshAt time.Duration // boot clock of this daemon at which the relay's snapshot was confirmed, or earlier
	outage  time.Duration // since the relay last found the store in an outage
}

var (
	errOldRelay  = errors.New("relay holds an older revision")
	errLostRelay = errors.New("relay has lost the store")
)

// relay returns the address of the relay to ask, or an empty string if this daemon is to
// read the store itself.
func (w *Watcher) relay() string {
	now := w.options.Boot()
	for _, address := range w.options.Relays() {
		if now >= w.badUntil[address] {
			return address
		}
	}
	return ""
}

// follow applies the changes that a relay passes on. If it reports false the caller
// reads the store itself. A relay that fails is not asked for relayPenalty. One that
// has lost the store is asked on, since it notices soon when the store is back; the
// store itself is then tried once each directPause. What a relay with an older
// revision says is ignored.
func (w *Watcher) follow(ctx context.Context, address string) bool {
	got, err := w.askRelay(ctx, address)
	held := w.Snapshot()
	switch {
	case err != nil:
	case got.listing.Era < held.Era || got.listing.Era == held.Era && got.listing.Revision < held.Revision:
		err = errOldRelay
	case w.options.Boot()-got.freshAt > maxRelayedAge+relaySlack:
		err = errLostRelay
	}
	if ctx.Err() != nil {
		return false
	}
	switch {
	case errors.Is(err, errLostRelay):
		if w.options.Boot() >= w.nextDirect {
			return false
		}
		clock.Sleep(ctx, relayRetry)
		return true
	case errors.Is(err, errOldRelay) && w.Age() < maxRelayedAge:
		return true // it has read the store less recently than this daemon, and will again
	case err != nil:
		w.badUntil[address] = w.options.Boot() + relayPenalty
		w.options.Log.Info("relay not followed", "relay", address, "error", err.Error(), "revision", held.Revision, "age", w.Age().String())
		return false
	}
	w.options.Store.ObserveEra(got.listing.Era)
	w.outageAt.Store(max(w.outageAt.Load(), int64(w.options.Boot()-got.outage)))
	if got.full {
		w.replace(got.listing)
	} else {
		w.applyChanges(got.listing)
	}
	w.recordSuccess(max(got.freshAt, time.Duration(w.freshAt.Load())))
	return true
}

// askRelay requests the changes after the held revision from a relay.
func (w *Watcher) askRelay(ctx context.Context, address string) (relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	held := w.Snapshot()
	url := fmt.Sprintf("http://%s%s?era=%d&after=%d", address, RelayPath, held.Era, held.Revision)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return relayed{}, err
	}
	sent := w.options.Boot()
	response, err := w.options.Do(request)
	if err != nil {
		return relayed{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable {
		return relayed{}, errLostRelay
	}
	if response.StatusCode != http.StatusOK {
		return relayed{}, fmt.Errorf("status %d", response.StatusCode)
	}
	return decodeRelayed(response, sent)
}

// decodeRelayed decodes a relay's response to a request that was sent at a reading of
// the boot clock. The relay's snapshot was confirmed before it answered by its age, and
// it answered no sooner than the time for which it held the request.
func decodeRelayed(response *http.Response, sent time.Duration) (relayed, error) {
	numbers, err := parseNumbers(response.Header, headerEra, headerRevision, headerAge, headerHeld, headerOutage)
	if err != nil {
		return relayed{}, err
	}
	got := relayed{
		listing: platform.Listing{Era: numbers[headerEra], Revision: numbers[headerRevision]},
		full:    response.Header.Get(headerFull) == "1",
		freshAt: sent + microsecondsOf(numbers[headerHeld]) - microsecondsOf(numbers[headerAge]),
		outage:  microsecondsOf(numbers[headerOutage]),
	}
	items, err := decodeItems(response.Body)
	got.listing.Items = items
	return got, err
}

// parseNumbers returns the numbers, none below 0, that headers state.
func parseNumbers(h http.Header, names ...string) (map[string]int64, error) {
	numbers := map[string]int64{}
	for _, name := range names {
		n, err := strconv.ParseInt(h.Get(name), 10, 64)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("header %s: %q", name, h.Get(name))
		}
		numbers[name] = n
	}
	return numbers, nil
}

// microsecondsOf returns the duration of so many microseconds.
func microsecondsOf(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// decodeItems decodes the items of a relay's response. An empty body holds none.
func decodeItems(body io.Reader) ([]platform.Item, error) {
	data, err := press.Unpack(body, maxRelayBytes)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var items []platform.Item
	err = json.Unmarshal(data, &items)
	return items, err
}
