package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/site"
)

// soundFields are the field lines of an endpoint's answer to a request of the fixture.
const soundFields = "X-Request-Id: id-1\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"

// countingNames are names of fields that decide what is done with an answer.
var countingNames = []string{"X-Not-Executed", "X-Server-Signature", "X-Request-Id"}

const soundEvents = "id: 1\ndata: x\n\n"

// messenger is an endpoint, or another daemon, that answers with a message and closes the
// connection.
type messenger struct {
	*stub
	message atomic.Pointer[string]
}

func newMessenger(t *testing.T) *messenger {
	m := &messenger{}
	m.stub = newStub(t, "a", func(w io.Writer, _ *http.Request) bool {
		_, _ = io.WriteString(w, *m.message.Load())
		return false
	})
	return m
}

// answer returns the answer to a caller's request as the messenger answers with a text.
func (m *messenger) answer(t *testing.T, path, text string) reply {
	t.Helper()
	m.message.Store(&text)
	before := m.count()
	f := newFixture(t, serviceOf(path), m.stub)
	if path == relayedPath {
		f.cut.Store(true)
		f.peers = []site.Daemon{{ID: "peer", Peer: m.address}}
	}
	got := f.call(t, "POST", path, nil)
	if m.count() == before {
		t.Fatal("the endpoint didn't get the request")
	}
	return got
}

// messagePaths are paths of requests that endpoints answer whole and by a stream, and that
// are sent on through another daemon.
var messagePaths = []string{"/file/x", "/tell/x", relayedPath}

// refuseMessages checks that callers get none of the messages as an answer, nor hear that a
// request has not run.
func refuseMessages(t *testing.T, messages []fakes.Message) {
	t.Helper()
	for _, path := range messagePaths {
		b := newMessenger(t)
		for _, m := range messages {
			t.Run(m.Name+" "+path, func(t *testing.T) {
				got := b.answer(t, path, m.With(soundFields, soundEvents))
				if got.status != http.StatusBadGateway || got.truncated || strings.Contains(got.body, "data: x") {
					t.Fatalf("status %d, header %v, body %q, truncated %v", got.status, got.header, got.body, got.truncated)
				}
			})
		}
	}
}

// Guards against MIXED: an answer with status 000 was taken for an informational one, and
// what followed it for the answer; one of 600 and more was passed on (issue 54).
func TestAnswerWithBadStatus(t *testing.T) { refuseMessages(t, fakes.BadStatuses()) }

// Guards against MIXED: a line whose name held a blank was passed over, with the length that
// it stated, or passed on with the line before it (issue 54).
func TestAnswerWithBadField(t *testing.T) { refuseMessages(t, fakes.BadFields(countingNames...)) }

// An answer whose end isn't told, or is told in two ways, is none: nothing says that its body
// is the endpoint's.
func TestAnswerWithBadFraming(t *testing.T) { cutMessages(t, fakes.BadFramings()) }

// An answer whose trailer is none has not ended as it should: a stream of it is cut, and
// what was not passed on yet is no answer.
func TestAnswerWithBadTrailer(t *testing.T) { cutMessages(t, fakes.BadTrailers(countingNames...)) }

// cutMessages checks that callers get none of the messages as a whole answer, but at most as
// a stream that is cut, nor hear that a request has not run.
func cutMessages(t *testing.T, messages []fakes.Message) {
	t.Helper()
	for _, path := range messagePaths {
		b := newMessenger(t)
		for _, m := range messages {
			t.Run(m.Name+" "+path, func(t *testing.T) {
				got := b.answer(t, path, m.With(soundFields, soundEvents))
				if !got.truncated && got.status != http.StatusBadGateway {
					t.Fatalf("status %d, body %q", got.status, got.body)
				}
			})
		}
	}
}

// An endpoint says in its head that it has not run a request. It doesn't in one that has a
// line that is no field line, whether that is the one that says it or another.
func TestNotRunByABadHead(t *testing.T) {
	const sound = "X-Request-Id: id-1\r\nX-Not-Executed: 1\r\n"
	for _, status := range []string{"408", "421", "429", "503"} {
		for _, path := range messagePaths {
			b := newMessenger(t)
			for _, lines := range []string{
				"X-Request-Id: id-1\r\nX-Not-Executed : 1\r\n", "X-Request-Id: id-1\r\n X-Not-Executed: 1\r\n", "X-Request-Id: id-1\r\nX-Not-\x01Executed: 1\r\n",
				sound + "X Trace: b\r\n", sound + ": b\r\n", sound + "X\x7f: b\r\n",
			} {
				t.Run(fmt.Sprintf("%s %q %s", status, lines, path), func(t *testing.T) {
					got := b.answer(t, path, "HTTP/1.1 "+status+" X\r\n"+lines+"\r\n")
					if got.status != http.StatusBadGateway {
						t.Fatalf("status %d, header %v", got.status, got.header)
					}
				})
			}
		}
	}
}

// A stream that is resumed at an endpoint whose answer is none is cut, and goes on with nothing
// of what came.
func TestStreamResumedByNoAnswer(t *testing.T) {
	for sound, messages := range map[bool][]fakes.Message{false: fakes.BadHeads(), true: fakes.SoundMessages()} {
		for _, m := range messages {
			t.Run(m.Name, func(t *testing.T) {
				first := events(3, false)
				b := newStub(t, "a", func(w io.Writer, r *http.Request) bool {
					if r.Header.Get("Last-Event-Id") == "" {
						return first(w, r)
					}
					_, _ = io.WriteString(w, m.With(soundFields, "id: 4\ndata: rest\n\n"))
					return false
				})
				c := newStub(t, "b", b.script)
				got := newFixture(t, "engines", b, c).call(t, "POST", "/talk/x", nil)
				if got.truncated == sound || strings.Contains(got.body, "data: rest") != sound || strings.Count(got.body, "data: x") != 3 {
					t.Fatalf("status %d, body %q, truncated %v", got.status, got.body, got.truncated)
				}
			})
		}
	}
}

// Each legal field of an answer is passed on; one of an informational answer or a trailer
// spoils nothing.
func TestLegalFieldNames(t *testing.T) {
	for _, path := range messagePaths {
		b := newMessenger(t)
		for _, name := range fakes.LegalNames() {
			t.Run(name+" "+path, func(t *testing.T) {
				line := name + ": b c\r\n"
				m := fakes.Message{Text: "HTTP/1.1 103 X\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n{fields}" + line + "Transfer-Encoding: chunked\r\n\r\n{chunk}\r\n0\r\n" + line + "\r\n"}
				got := b.answer(t, path, m.With(soundFields, soundEvents))
				if got.status != http.StatusOK || got.truncated || got.header.Get(name) != "b c" || got.body != soundEvents {
					t.Fatalf("status %d, header %v, body %q, truncated %v", got.status, got.header, got.body, got.truncated)
				}
			})
		}
	}
}

// What is an answer by RFC 9112 goes on being served.
func TestSoundAnswers(t *testing.T) {
	for _, path := range messagePaths {
		b := newMessenger(t)
		for _, m := range fakes.SoundMessages() {
			t.Run(m.Name+" "+path, func(t *testing.T) {
				got := b.answer(t, path, m.With(soundFields, soundEvents))
				if got.status != http.StatusOK || got.truncated || got.body != soundEvents {
					t.Fatalf("status %d, body %q, truncated %v", got.status, got.body, got.truncated)
				}
			})
		}
	}
}
