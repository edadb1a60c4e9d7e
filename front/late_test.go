package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// wholeAnswer returns a complete answer to the request with an id. Its body, an event,
// names the request.
func wholeAnswer(status int, extra, id string) string {
	body := "id: 1\ndata: " + id + "\n\n"
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// stutter returns a script that answers each request with 200. Before the answer to the
// second request on a connection it writes late, which is given the id of the first.
func stutter(late func(id string) string) script {
	var earlier sync.Map // id of the first request, by connection
	return func(w io.Writer, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		text := wholeAnswer(200, "", id)
		if first, again := earlier.LoadOrStore(w, id); again && id == "own" {
			text = late(first.(string)) + text
		}
		_, _ = io.WriteString(w, text)
		return true
	}
}

// A late second answer to an earlier request on a kept connection must not be taken for
// the answer to the next one, whatever its status: neither its body nor what it says of
// its endpoint or of whether it ran.
func TestLateAnswerIsNotTheNextOnes(t *testing.T) {
	late := map[string]func(id string) string{
		"200":         func(id string) string { return wholeAnswer(200, "", id) },
		"404":         func(id string) string { return wholeAnswer(404, "", id) },
		"500":         func(id string) string { return wholeAnswer(500, "", id) },
		"504":         func(id string) string { return wholeAnswer(504, "", id) },
		"503 not run": func(id string) string { return wholeAnswer(503, "X-Not-Executed: 1\r\nRetry-After: 30\r\n", id) },
		"421":         func(id string) string { return wholeAnswer(421, "", id) },
		"leaving":     func(id string) string { return wholeAnswer(200, "Server-Leaving: 1\r\n", id) },
		"continue":    func(id string) string { return "HTTP/1.1 100 Continue\r\nX-Request-Id: " + id + "\r\n\r\n" },
		"no body":     func(id string) string { return "HTTP/1.1 204 X\r\nX-Request-Id: " + id + "\r\n\r\n" },
		"two":         func(id string) string { return wholeAnswer(504, "", id) + wholeAnswer(200, "", "before") },
		"chunked": func(id string) string {
			return "HTTP/1.1 500 X\r\nX-Request-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"
		},
		"long": func(id string) string {
			return "HTTP/1.1 200 X\r\nX-Request-Id: " + id + "\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000)
		},
		"no late one":  func(string) string { return "" },
		"its own then": func(string) string { return wholeAnswer(200, "", "own") },
	}
	for name, text := range late {
		for _, path := range []string{"/read/", "/file/", "/talk/", "/tell/"} {
			t.Run(path+name, func(t *testing.T) {
				is := is.New(t)
				service := "plain"
				if path == "/talk/" || path == "/tell/" {
					service = "engines"
				}
				a := newStub(t, "a", stutter(text))
				f := newFixture(t, service, a)
				for _, id := range []string{"first", "own", "next"} {
					got := f.call(t, "POST", path, func(r *http.Request) { r.Header.Set("X-Request-Id", id) })
					is.Equal(got.status, 200)
					is.Equal(got.header.Get("X-Request-Id"), id)
					is.Equal(got.body, "id: 1\ndata: "+id+"\n\n")
				}
				is.Equal(a.count(), 3)
			})
		}
	}
}

// An answer without an id on a kept connection may be anyone's, so that it proves
// neither that the request ran nor that it did not.
func TestAnswerWithoutIDOnKeptConnection(t *testing.T) {
	for _, late := range []string{
		"HTTP/1.1 200 X\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 504 X\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(late[9:12], func(t *testing.T) {
			is := is.New(t)
			a := newStub(t, "a", stutter(func(string) string { return late }))
			f := newFixture(t, "plain", a)
			for _, c := range []struct {
				id     string
				status int
			}{{"first", 200}, {"own", 502}, {"next", 200}} {
				got := f.call(t, "POST", "/read/", func(r *http.Request) { r.Header.Set("X-Request-Id", c.id) })
				is.Equal(got.status, c.status)
				is.True(got.body != "no")
			}
			is.Equal(testutil.ToFloat64(f.front.options.Metrics.otherAnswers.WithLabelValues("reused", late[9:12])), 1.0)
		})
	}
}

// An endpoint may close a kept connection as a request comes, which does not tell whether
// it ran. A request that may not be repeated must not be lost to that, nor must one
// without an id, of which no answer could be told, get a late answer.
func TestKeptConnectionIsNotForEveryRequest(t *testing.T) {
	for _, c := range []struct{ path, service, id string }{{"/file/", "plain", "own"}, {"/tell/", "engines", "own"}, {"/read/", "plain", ""}} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			var carried sync.Map // connections that carried a request
			b := newStub(t, "a", func(w io.Writer, r *http.Request) bool {
				if _, again := carried.LoadOrStore(w, true); again {
					return false
				}
				return signed(200, "x\n\n")(w, r)
			})
			f := newFixture(t, c.service, b)
			for range 2 {
				got := f.call(t, "POST", c.path, func(r *http.Request) { r.Header.Set("X-Request-Id", c.id) })
				is.Equal(got.status, 200)
			}
			is.Equal(b.count(), 2)
		})
	}
}

// A late answer of which the rest doesn't come must not hold the next request until its
// deadline.
func TestUnfinishedLateAnswerIsNotAwaited(t *testing.T) {
	is := is.New(t)
	late := func(id string) string {
		return "HTTP/1.1 200 X\r\nX-Request-Id: " + id + "\r\nContent-Length: 900\r\n\r\n"
	}
	s := stutter(late)
	f := newFixture(t, "plain", newStub(t, "a", s), newStub(t, "b", s))
	for _, id := range []string{"first", "second", "own"} {
		began := time.Now()
		got := f.call(t, "POST", "/read/", func(r *http.Request) { r.Header.Set("X-Request-Id", id) })
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("X-Request-Id"), id)
		is.True(time.Since(began) < time.Second) // the route's target latency
	}
}

// The line of a served request says whether its answer came on a kept connection, as an
// answer with the right id may still be a second one there.
func TestServedLineTellsOfKeptConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain", newStub(t, "a", signed(200, "x")))
	lines := f.captureLog()
	for range 2 {
		is.Equal(f.call(t, "GET", "/read/", nil).status, 200)
	}
	served := lines("request served")
	is.Equal(len(served), 2)
	is.True(strings.Contains(served[0], `"served":0`))
	is.True(strings.Contains(served[1], `"served":1`))
}
