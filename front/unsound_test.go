package front

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/site"
)

// soundFields are the field lines of an endpoint's answer to a request of the fixture.
const soundFields = "X-Request-Id: id-1\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"

const soundEvents = "id: 1\ndata: x\n\n"

// answerMessage returns a script that sends a message and closes the connection.
func answerMessage(m fakes.Message) script {
	return func(w io.Writer, _ *http.Request) bool {
		_, _ = io.WriteString(w, m.With(soundFields, soundEvents))
		return false
	}
}

// newMessageFixture starts a Front in front of an endpoint, or of another daemon, that
// answers with a message.
func newMessageFixture(t *testing.T, path string, m fakes.Message) (*fixture, *stub) {
	t.Helper()
	b := newStub(t, "a", answerMessage(m))
	service := "plain"
	if path == "/tell/x" || path == "/talk/x" {
		service = "engines"
	}
	f := newFixture(t, service, b)
	if path == relayedPath {
		f.cut.Store(true)
		f.peers = []site.Daemon{{ID: "peer", Peer: b.address}}
	}
	return f, b
}

// messagePaths are paths of requests that endpoints answer whole and by a stream, and that
// are sent on through another daemon.
var messagePaths = []string{"/file/x", "/tell/x", relayedPath}

// refuseMessages checks that callers get none of the messages as an answer, nor hear that a
// request has not run.
func refuseMessages(t *testing.T, messages []fakes.Message) {
	t.Helper()
	for _, path := range messagePaths {
		for _, m := range messages {
			t.Run(m.Name+" "+path, func(t *testing.T) {
				f, b := newMessageFixture(t, path, m)
				got := f.call(t, "POST", path, nil)
				if b.count() == 0 {
					t.Fatal("the endpoint didn't get the request")
				}
				if got.status != http.StatusBadGateway || got.truncated || strings.Contains(got.body, "data: x") {
					t.Fatalf("status %d, header %v, body %q, truncated %v", got.status, got.header, got.body, got.truncated)
				}
			})
		}
		messages = fakes.Some(messages) // on the other paths
	}
}

// Guards against MIXED: an answer with status 000 was taken for an informational one, and
// what followed it for the answer; one of 600 and more was passed on (issue 54).
func TestAnswerWithBadStatus(t *testing.T) { refuseMessages(t, fakes.BadStatuses()) }

// Guards against MIXED: a line whose name held a blank was passed over, with the length that
// it stated, or passed on with the line before it (issue 54).
func TestAnswerWithBadField(t *testing.T) { refuseMessages(t, fakes.BadFields()) }

// An answer whose end isn't told, or is told in two ways, is none: nothing says that its body
// is the endpoint's.
func TestAnswerWithBadFraming(t *testing.T) { cutMessages(t, fakes.BadFramings()) }

// An answer whose trailer is none has not ended as it should: a stream of it is cut, and
// what was not passed on yet is no answer.
func TestAnswerWithBadTrailer(t *testing.T) { cutMessages(t, fakes.BadTrailers()) }

// cutMessages checks that callers get none of the messages as a whole answer, but at most as
// a stream that is cut, nor hear that a request has not run.
func cutMessages(t *testing.T, messages []fakes.Message) {
	t.Helper()
	for _, m := range messages {
		for _, path := range messagePaths {
			t.Run(m.Name+" "+path, func(t *testing.T) {
				f, _ := newMessageFixture(t, path, m)
				got := f.call(t, "POST", path, nil)
				if !got.truncated && got.status != http.StatusBadGateway {
					t.Fatalf("status %d, body %q", got.status, got.body)
				}
			})
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

// Each legal field of an answer is passed on.
func TestLegalFieldNames(t *testing.T) {
	for _, name := range fakes.LegalNames() {
		for _, path := range messagePaths {
			t.Run(name+" "+path, func(t *testing.T) {
				f, _ := newMessageFixture(t, path, fakes.Message{Text: "HTTP/1.1 200 OK\r\n{fields}" + name + ": b c\r\n\r\n{body}"})
				got := f.call(t, "POST", path, nil)
				if got.status != http.StatusOK || got.truncated || got.header.Get(name) != "b c" {
					t.Fatalf("status %d, header %v, truncated %v", got.status, got.header, got.truncated)
				}
			})
		}
	}
}

// What is an answer by RFC 9112 goes on being served.
func TestSoundAnswers(t *testing.T) {
	for _, m := range fakes.SoundMessages() {
		for _, path := range messagePaths {
			t.Run(m.Name+" "+path, func(t *testing.T) {
				f, _ := newMessageFixture(t, path, m)
				got := f.call(t, "POST", path, nil)
				if got.status != http.StatusOK || got.truncated || got.body != soundEvents {
					t.Fatalf("status %d, body %q, truncated %v", got.status, got.body, got.truncated)
				}
			})
		}
	}
}
