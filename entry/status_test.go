package entry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// newModelEntry starts an entry in front of a model engine at an address.
func newModelEntry(t *testing.T, address string) *httptest.Server {
	t.Helper()
	v := newView(t, document(), [2]lastOrder{})
	transport := entry.NewTransport(true)
	send := func(r *http.Request) (*http.Response, error) {
		r.URL.Host = address // all engines of the view are this one
		return transport.RoundTrip(r)
	}
	gates := fakes.NewGates(func() *view.View { return v }, 64)
	server := httptest.NewServer(entry.New(entry.Options{
		Self:     "d0",
		View:     func() *view.View { return v },
		Daemons:  func() []*wire.Daemon { return []*wire.Daemon{{Id: "d0", PeerAddress: "d0"}} },
		Order:    func(v *view.View, _, _ string, _ []uint64, _ string) []view.Location { return v.Replicas("forge") },
		Gate:     func(string) wire.GateClient { return gates },
		Interim:  func(view.Location) []string { return nil },
		Engine:   engine.New(send),
		Plain:    transport.RoundTrip,
		Unpooled: send,
		Count:    func(tally.Sample) {},
		Log:      logr.Discard(),
		Rand:     rand.New(rand.NewPCG(1, 1)),
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against MIXED: a runner's answer whose status is below 100 reached the caller as an
// answer, or what followed it did. The caller is told that the server failed, by a status that
// the entry chooses.
func TestStatusBelow100ReachesNoCaller(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
	const events = "data: {\"token\":\"x\"}\n\ndata: [DONE]\n\n"
	for _, kind := range []struct {
		name, path, body string
		start            func(*testing.T, string) *httptest.Server
	}{
		{"plain service", "/services/lookup/x", "x", newServiceEntry},
		{"completion", "/v1/chat/completions", `{"model":"forge","messages":[{"role":"user","content":"hinge"}],"max_tokens":5}`, newModelEntry},
		{"stream", "/v1/chat/completions", `{"model":"forge","messages":[{"role":"user","content":"hinge"}],"max_tokens":5,"stream":true}`, newModelEntry},
	} {
		for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 042 X", "HTTP/1.1 099 X"} {
			for name, rest := range map[string]string{
				"a length": "Content-Length: 4\r\n\r\nfour", "no body": "Content-Length: 0\r\n\r\n", "to the end": "\r\nfour",
				"events": "Content-Type: text/event-stream\r\n\r\n" + events, "a second message": "\r\n" + second,
			} {
				t.Run(kind.name+" "+line+" "+name, func(t *testing.T) {
					t.Parallel() // most rows wait for retries
					var came atomic.Int64
					address, stop, err := fakes.Script(func(c *net.TCPConn, r *http.Request) {
						came.Add(1)
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, line+"\r\n"+rest)
					})
					if err != nil {
						t.Fatal(err)
					}
					defer stop()
					status, body := callRaw(t, kind.start(t, address), kind.path, kind.body)
					if came.Load() == 0 || status < 500 || status > 599 || strings.Contains(body, "four") || strings.Contains(body, "second") || strings.Contains(body, "data:") {
						t.Fatalf("requests %d, status %d, body %q", came.Load(), status, body)
					}
				})
			}
		}
	}
}

// callRaw sends a request to an entry and returns the status and body of its answer.
func callRaw(t *testing.T, server *httptest.Server, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+deskKey)
	response, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}
