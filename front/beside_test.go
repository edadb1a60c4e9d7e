package front

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// normalGaps sends streams at once and returns the longest gap of each, sorted.
func normalGaps(t *testing.T, address string, events int) []time.Duration {
	t.Helper()
	longest := make([]time.Duration, 8)
	var all sync.WaitGroup
	for i := range longest {
		all.Go(func() {
			c := dialSlow(t, address, "/talk/normal", 20*time.Second)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Error(err)
				return
			}
			buffer, body, before := make([]byte, 4<<10), "", time.Time{}
			for err == nil {
				var n int
				n, err = response.Body.Read(buffer)
				body += string(buffer[:n])
				if !before.IsZero() {
					longest[i] = max(longest[i], time.Since(before))
				}
				before = time.Now()
			}
			if body != longBody(events) {
				t.Errorf("normal caller got %d bytes, %v", len(body), err)
			}
		})
	}
	all.Wait()
	slices.Sort(longest)
	return longest
}

// lateness begins to measure the longest time by which this process runs late, as other load
// makes it do. The function that it returns ends that.
func lateness() func() time.Duration {
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		const pause = 5 * time.Millisecond
		for longest := time.Duration(0); ; {
			began := time.Now()
			select {
			case <-stop:
				result <- longest
				return
			case <-time.After(pause):
				longest = max(longest, time.Since(began)-pause)
			}
		}
	}()
	return func() time.Duration { close(stop); return <-result }
}

// A hundred callers that read slowly get their streams whole, and the streams of others keep
// their gaps meanwhile.
func TestSlowCallersBesideNormalOnes(t *testing.T) {
	is := is.New(t)
	const last, events = 250, 30
	s := func(w io.Writer, r *http.Request) bool {
		if r.URL.Path == "/talk/slow" {
			return longStream(last, 0, 0, 20*time.Second)(w, r)
		}
		return longStream(events, 0, 20*time.Millisecond, 20*time.Second)(w, r)
	}
	var stubs []*stub
	for i := range 30 { // of 4 slots
		stubs = append(stubs, newStub(t, fmt.Sprint(i), s))
	}
	f := newFixture(t, "engines", stubs...)
	setTimeout(t, "talk", 20*time.Second)
	lines := f.captureLog()
	address := f.smallBuffers(t)
	alone := normalGaps(t, address, events)
	var all sync.WaitGroup
	var whole atomic.Int64
	for range 100 {
		time.Sleep(10 * time.Millisecond) // more at once may be refused
		all.Go(func() {
			got, err := readSlowly(dialSlow(t, address, "/talk/slow", 20*time.Second), 50<<10)
			if err == nil && got == longBody(last) {
				whole.Add(1)
			} else {
				t.Logf("slow caller got %d bytes, %v", len(got), err)
			}
		})
	}
	for began := time.Now(); f.front.options.Hold.State().Slow < 90; time.Sleep(time.Millisecond) {
		is.True(time.Since(began) < 10*time.Second)
	}
	late := lateness()
	beside := normalGaps(t, address, events)
	lateBy := late()
	is.True(f.front.options.Hold.State().Slow > 50) // all the while
	all.Wait()
	is.Equal(whole.Load(), int64(100))
	t.Logf("longest gaps of normal streams alone %v, beside slow ones %v, the process late by %v; peak held %d", alone, beside, lateBy, f.front.options.Hold.State().Peak)
	is.True(beside[len(beside)/2] < alone[len(alone)/2]+lateBy+150*time.Millisecond)
	is.Equal(len(lines("request cut")), 0)
}
