package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinehead.example/chead/site"
)

// flaw is what a flawed endpoint does with one request.
type flaw int

const (
	sound          flaw = iota
	twice               // its answer comes again at once
	soonAgain           // its answer comes again up to 3 ms later
	beforeNext          // its answer comes again before that of the next request on the connection
	beforeNext500       // the same for answers of other kinds
	beforeNext504       //
	beforeNext421       //
	beforeNextFull      //
	beforeNextPart      // the same, but not all of it
	extraBytes          // bytes that are no answer follow the answer; from the next on, the connection ends
	cutShort            // within a body of known length
	cutChunk            // within a chunked body
	noHTTP              // after bytes that are no answer
	spoiled             // after an answer with a head that is no HTTP
	noLength            // which marks the end of the answer
	noAnswer            // without an answer
	resetMidway         // by a reset within a body without a length
	flaws               // their number
)

// flawedEndpoints records what endpoints did with each request.
type flawedEndpoints struct {
	mu     sync.Mutex
	flaws  []flaw
	next   int
	late   map[io.Writer]string // to be written before the next answer on the connection
	runs   map[string]int
	status map[string]map[int]bool // given in answer to a request
}

// flawedBody returns the body of an answer: three events that name the request and the
// status, after the one with the given number.
func flawedBody(id string, status, after int) string {
	var b strings.Builder
	for i := after + 1; i <= 3; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, status)
	}
	return b.String()
}

// serve is the script of the endpoints.
func (e *flawedEndpoints) serve(w io.Writer, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	does := e.flaws[e.next%len(e.flaws)]
	e.next++
	status, extra := http.StatusOK, ""
	switch does {
	case beforeNext500:
		status = http.StatusInternalServerError
	case beforeNext504:
		status = http.StatusGatewayTimeout
	case beforeNext421:
		status = http.StatusMisdirectedRequest
	case beforeNextFull:
		status, extra = http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"
	default:
	}
	if status != http.StatusMisdirectedRequest && status != http.StatusServiceUnavailable {
		e.runs[id]++
	}
	if e.status[id] == nil {
		e.status[id] = map[int]bool{}
	}
	e.status[id][status] = true
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	body := flawedBody(id, status, after)
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Signature: s\r\n%s", status, id, extra)
	whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	late := e.late[w]
	e.late[w] = ""
	_, keep := io.WriteString(w, late+e.answer(does, w, head, body, whole))
	return keep == nil && does <= extraBytes
}

// answer returns what an endpoint writes at once.
func (e *flawedEndpoints) answer(does flaw, w io.Writer, head, body, whole string) string {
	switch does {
	case twice:
		return whole + whole
	case soonAgain:
		time.AfterFunc(time.Duration(e.next%4)*time.Millisecond, func() { _, _ = io.WriteString(w, whole) })
	case beforeNext, beforeNext500, beforeNext504, beforeNext421, beforeNextFull:
		e.late[w] = whole
	case beforeNextPart:
		e.late[w] = whole[:len(whole)-len(body)/2]
	case cutShort:
		return whole[:len(whole)-len(body)/2]
	case cutChunk:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	case noHTTP:
		return "nothing that is HTTP\r\n\r\n" + whole
	case spoiled:
		return head + "no colon here\r\n\r\n" + body
	case noLength:
		return head + "\r\n" + body
	case resetMidway:
		_ = w.(*net.TCPConn).SetLinger(0)
		return head + "\r\n" + body[:len(body)/2]
	case extraBytes:
		return whole + "id: 4\ndata: extra\n\n"
	case noAnswer:
		return ""
	default:
	}
	return whole
}

// check returns what is wrong with a reply to a request of a route, or an empty string.
func (e *flawedEndpoints) check(id string, route site.Route, got reply) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := e.runs[id]
	switch whole := flawedBody(id, got.status, 0); {
	case !route.Repeatable() && runs > 1:
		return "ran twice"
	case !route.Repeatable() && got.status == http.StatusServiceUnavailable && runs > 0:
		return "refused though it ran"
	case got.status == 0 || got.header.Get("X-Server-Signature") == "":
		return ""
	case got.header.Get("X-Request-Id") != id:
		return "another request's head"
	case !e.status[id][got.status]:
		return "a status that no endpoint gave"
	case got.truncated && !strings.HasPrefix(whole, got.body):
		return "not its own part of a body"
	case !got.truncated && got.body != whole:
		return "not its own whole body"
	default:
	}
	return ""
}

// Callers of endpoints that answer twice, late, in part or not at all must get their own
// whole answer or a failure that is true.
func TestAnswersAreNotMixed(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		// Half of the answers are sound, so that connections are kept.
		one := rapid.Custom(func(rt *rapid.T) flaw {
			if rapid.Bool().Draw(rt, "sound") {
				return sound
			}
			return flaw(rapid.IntRange(0, int(flaws)-1).Draw(rt, "flaw"))
		})
		e := &flawedEndpoints{flaws: rapid.SliceOfN(one, 8, 40).Draw(rt, "flaws"), late: map[io.Writer]string{}, runs: map[string]int{}, status: map[string]map[int]bool{}}
		path := rapid.SampledFrom([]string{"/read/", "/file/", "/talk/", "/tell/"}).Draw(rt, "path")
		route, _ := testConfig.Route(testHost, path)
		service := route.Shares[0].Service
		f := newFixture(t, service, newStub(t, "a", e.serve), newStub(t, "b", e.serve), newStub(t, "c", e.serve))
		replies := make([]reply, 24)
		var callers sync.WaitGroup
		for caller := range 3 {
			callers.Go(func() {
				for i := caller; i < len(replies); i += 3 {
					replies[i] = f.call(t, "POST", path, func(r *http.Request) {
						r.Header.Set("X-Request-Id", fmt.Sprint("id-", i))
						r.Header.Set("X-Deadline-Ms", "300")
					})
				}
			})
		}
		callers.Wait()
		for i, got := range replies {
			if wrong := e.check(fmt.Sprint("id-", i), route, got); wrong != "" {
				rt.Errorf("id-%d %s: %s: %+v", i, path, wrong, got)
			}
			if got.status == http.StatusOK && !got.truncated {
				served++
			}
		}
	})
	t.Logf("%d served", served)
}
