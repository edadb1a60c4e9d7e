package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// await waits until a condition holds, and fails the test after 2 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

// A stream that its caller has begun to get goes on as other requests are answered, and
// may end; it looks incomplete if it is cut off.
func TestStreamOutlastsTheAnswersOfAStop(t *testing.T) {
	for _, cut := range []bool{false, true} {
		is := is.New(t)
		last := make(chan struct{})
		b := newStub(t, "a", func(w io.Writer, r *http.Request) bool {
			_ = events(2, true)(cutTail{w}, r)
			<-last
			_, _ = io.WriteString(w, "0\r\n\r\n")
			return true
		})
		f := newFixture(t, "engines", b)
		answers := make(chan reply, 1)
		go func() { answers <- f.call(t, "POST", "/talk/", nil) }()
		await(t, "the events", func() bool {
			list := f.front.jobs.list()
			return len(list) == 1 && list[0].progress.events.Load() == 2
		})
		f.front.Answer()
		time.Sleep(50 * time.Millisecond)
		is.Equal(f.front.Active(), 1)
		if cut {
			f.front.Cut()
		} else {
			close(last)
		}
		got := <-answers
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.truncated, cut)
		is.Equal(b.count(), 1) // not sent again
		if cut {
			close(last)
		}
	}
}

// cutTail leaves out the end of a chunked body.
type cutTail struct{ io.Writer }

func (c cutTail) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		return len(b), nil
	}
	return c.Writer.Write(b)
}

// A repeatable request that waits for its only endpoint's answer is not sent again as
// the daemon stops, and one that waits for a slot is refused as not run. Whether one waits or
// is refused at once hangs on how the callers come, so some stops are tried until one did.
func TestQueuedRequestIsRefusedAtTheEndOfAStop(t *testing.T) {
	const most = 8
	for range most {
		if statuses := stopWithQueue(t); statuses[http.StatusBadGateway] > 0 && statuses[http.StatusServiceUnavailable] > 0 {
			return
		}
	}
	t.Errorf("no request waited for a slot in %d stops", most)
}

// stopWithQueue stops a daemon whose endpoint is full and never answers. It checks that each
// request gets a true answer, and returns the number of those that the stop ended, by status.
func stopWithQueue(t *testing.T) map[int]int {
	t.Helper()
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	b := newStub(t, "a", func(io.Writer, *http.Request) bool {
		<-release
		return false
	})
	f := newFixture(t, "engines", b)
	const all = 12
	answers := make([]reply, all)
	id := func(i int) string { return fmt.Sprint("queued-", i) }
	var callers sync.WaitGroup
	for i := range all {
		callers.Go(func() {
			answers[i] = f.call(t, "POST", "/talk/", func(r *http.Request) { r.Header.Set("X-Request-Id", id(i)) })
		})
	}
	await(t, "the endpoint has requests", func() bool {
		time.Sleep(50 * time.Millisecond)
		return b.count() > 0 && f.front.Active() >= b.count()
	})
	f.front.Leave()
	f.front.Refuse()
	f.front.Answer()
	callers.Wait()
	ran := map[string]bool{}
	b.mu.Lock()
	for _, r := range b.requests {
		ran[r.Header.Get("X-Request-Id")] = true
	}
	is.Equal(len(b.requests), len(ran)) // none was sent again
	b.mu.Unlock()
	statuses := map[int]int{}
	for i, got := range answers {
		stopped := strings.Contains(got.body, stopReason)
		if ran[id(i)] {
			is.Equal(got.status, http.StatusBadGateway) // the endpoint never answers
			is.True(stopped)
		} else {
			onItsWay := got.status == http.StatusBadGateway && stopped // nothing is promised of it
			is.True(got.status == http.StatusServiceUnavailable || onItsWay)
		}
		if stopped {
			statuses[got.status]++
		}
	}
	return statuses
}

// Guards against LOST: a request that had been read and not yet been sent, as the daemon
// answered what was in progress, got no answer, since its caller was taken to have left, or
// was sent to an endpoint if it may run only once.
func TestRequestAdmittedAsAStopEndsIsAnswered(t *testing.T) {
	for _, path := range []string{"/file/", "/read/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			b := newStub(t, "a", signed(200, "x"))
			f := newFixture(t, "plain", b)
			f.front.options.Crashes.mu.Lock() // holds the request between its admission and its first send
			answer := make(chan reply)
			go func() { answer <- f.call(t, "POST", path, nil) }()
			await(t, "the request is admitted", func() bool {
				time.Sleep(50 * time.Millisecond)
				return f.front.Active() == 1
			})
			f.front.Leave()
			f.front.Refuse()
			f.front.Answer()
			time.Sleep(50 * time.Millisecond) // for the server to notice
			f.front.options.Crashes.mu.Unlock()
			got := <-answer
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(got.body, stopReason))
			is.Equal(b.count(), 0)
		})
	}
}

// Callers that connect again and again to a daemon that refuses them must not use up the
// log's rate, which the lines of requests in progress need.
func TestRefusalsOfAStopDoNotFillTheLog(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain", newStub(t, "a", signed(200, "x")))
	var lines atomic.Int64
	f.front.options.Log = funcr.New(func(_, _ string) { lines.Add(1) }, funcr.Options{})
	f.front.Leave()
	f.front.Refuse()
	const all = 2 * maxProgressLines
	for range all {
		is.Equal(f.call(t, "POST", "/read/", nil).status, http.StatusServiceUnavailable)
	}
	is.True(lines.Load() <= maxProgressLines)
	is.Equal(f.front.Refused(), int64(all))
}

// A request that is not whole when the daemon begins to refuse requests is refused, and
// not passed on.
func TestRequestWholeAfterTheRefusalsBegan(t *testing.T) {
	is := is.New(t)
	b := newStub(t, "a", signed(200, "x"))
	f := newFixture(t, "plain", b)
	c, err := net.Dial("tcp", f.http.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /read/ HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: a\r\nAuthorization: Bearer good-key\r\nContent-Length: 2\r\n\r\nx")
	is.NoErr(err)
	await(t, "the request", func() bool { return f.front.Active() == 1 })
	f.front.Leave()
	f.front.Refuse()
	_, err = io.WriteString(c, "x")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.True(response.Close)
	is.Equal(b.count(), 0)
}
