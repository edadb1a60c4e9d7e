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

func (w *world) ask(to int) entry.Entries {
	got := w.send(ask{to: to, method: http.MethodGet, path: "/v1/entries"})
	var answer entry.Entries
	if err := json.Unmarshal(got.body, &answer); err != nil {
		w.t.Fatal(err)
	}
	return answer
}

// TestShutdown has callers that keep an answer of /v1/entries for as long as it
// holds and send requests all the time, while a daemon shuts down. None is cut
// off.
func TestShutdown(t *testing.T) {
	options := fakes.EngineOptions{Token: 200 * time.Millisecond}
	within(t, 1, document(), options, func(w *world) {
		is := is.New(w.t)
		hold := time.Duration(w.ask(0).Hold)
		is.Equal(hold, 30*time.Second)
		begun := time.Now()
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * hold / 60)
				prompt := fmt.Sprint(i)
				got := w.send(ask{host: fmt.Sprint("c", i), prompt: prompt, tokens: 100, stream: i%2 == 0})
				is.NoErr(got.err)
				is.True(got.whole)
				is.Equal(got.text, fakes.Answer(prompt, 100))
			})
		}
		time.Sleep(time.Second)
		is.NoErr(w.entries[0].Shutdown(context.Background()))
		is.True(time.Since(begun) >= hold+19*time.Second)
		group.Wait()
		is.True(w.send(ask{prompt: "x"}).err != nil) // nobody listens any more
	})
}

func TestEntriesSteerAway(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		firsts := map[string]int{}
		for range 300 {
			answer := w.ask(0)
			is.Equal(len(answer.Entries), 3)
			firsts[answer.Entries[0].Address]++
		}
		is.Equal(len(firsts), 3)
		for _, n := range firsts {
			is.True(n > 70) // of 100 each
		}
		go func() { _ = w.entries[0].Shutdown(context.Background()) }()
		time.Sleep(time.Second)
		for _, address := range w.ask(0).Entries {
			is.True(address.Address != "d0:80")
		}
	})
}
