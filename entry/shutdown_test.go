package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
)

// fetchEntries returns a daemon's answer to GET /v1/entries.
func (cl *cluster) fetchEntries(to int) entry.Entries {
	got := cl.send(request{to: to, method: http.MethodGet, path: "/v1/entries"})
	var answer entry.Entries
	if err := json.Unmarshal(got.body, &answer); err != nil {
		cl.t.Fatal(err)
	}
	return answer
}

// TestShutdown shuts a daemon down while callers send requests to it for as
// long as their answer to GET /v1/entries is valid, which is Hold. No request may
// be cut off. A request lasts 20 s, 100 tokens of 200 ms each, so that the last
// ones outlast Hold.
func TestShutdown(t *testing.T) {
	options := fakes.EngineOptions{Token: 200 * time.Millisecond}
	withCluster(t, 1, document(), options, func(cl *cluster) {
		is := is.New(cl.t)
		hold := time.Duration(cl.fetchEntries(0).Hold)
		is.Equal(hold, 30*time.Second)
		begun := time.Now()
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * hold / 60)
				prompt := fmt.Sprint(i)
				got := cl.send(request{host: fmt.Sprint("c", i), prompt: prompt, tokens: 100, stream: i%2 == 0})
				is.NoErr(got.err)
				is.True(got.complete)
				is.Equal(got.text, fakes.Answer(prompt, 100))
			})
		}
		time.Sleep(time.Second)
		is.NoErr(cl.entries[0].Shutdown(context.Background()))
		is.True(time.Since(begun) >= hold+19*time.Second) // the last request starts half a second before hold ends and lasts 20 s
		group.Wait()
		is.True(cl.send(request{prompt: "x"}).err != nil) // it no longer listens
	})
}

// TestEntriesOmitLeavingDaemon checks that callers are spread evenly over the
// daemons, and that a daemon that shuts down is no longer named.
func TestEntriesOmitLeavingDaemon(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		firsts := map[string]int{}
		for range 300 {
			answer := cl.fetchEntries(0)
			is.Equal(len(answer.Entries), 3)
			firsts[answer.Entries[0].Address]++
		}
		is.Equal(len(firsts), 3)
		for _, n := range firsts {
			is.True(n > 70) // 100 are expected
		}
		go func() { _ = cl.entries[0].Shutdown(context.Background()) }()
		time.Sleep(time.Second)
		for _, address := range cl.fetchEntries(0).Entries {
			is.True(address.Address != "d0:80")
		}
	})
}
