package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/wire"
)

func TestRefusals(t *testing.T) {
	header := func(name, value string) map[string]string { return map[string]string{name: value} }
	verdict := func(v wire.Verdict) func(*world) {
		return func(w *world) {
			w.gates.Verdict = func(*wire.AcquireRequest) *wire.AcquireResponse {
				return &wire.AcquireResponse{Verdict: v, RetryAfter: durationpb.New(4 * time.Second)}
			}
		}
	}
	once := header("X-Repeatable", "no")
	tests := []struct {
		name   string
		ask    ask
		fault  func(*world)
		status int
		code   string
		ran    string
		back   string // Retry-After
	}{
		{name: "path", ask: ask{path: "/v1/nothing"}, status: 404, code: "path", ran: "no"},
		{name: "method", ask: ask{method: "PUT"}, status: 405, code: "method", ran: "no"},
		{name: "wrong key", ask: ask{key: "wrong"}, status: 401, code: "key", ran: "no"},
		{name: "hash as key", ask: ask{key: hashed(desk)}, status: 401, code: "key", ran: "no"},
		{name: "another scheme", ask: ask{headers: header("Authorization", "Basic "+desk)}, status: 401, code: "key", ran: "no"},
		{name: "bad JSON", ask: ask{body: `{"model":`}, status: 400, code: "json", ran: "no"},
		{name: "two objects", ask: ask{body: `{"model":"m"} {}`}, status: 400, code: "json", ran: "no"},
		{name: "null", ask: ask{body: `null`}, status: 400, code: "json", ran: "no"},
		{name: "no model named", ask: ask{body: `{}`}, status: 422, code: "request", ran: "no"},
		{name: "stream is a text", ask: ask{body: `{"model":"m","stream":"yes"}`}, status: 422, code: "request", ran: "no"},
		{name: "too many tokens", ask: ask{tokens: 1e6}, status: 422, code: "request", ran: "no"},
		{name: "unknown model", ask: ask{body: `{"model":"x"}`}, status: 404, code: "model", ran: "no"},
		{name: "another account's model", ask: ask{body: `{"model":"n"}`}, status: 403, code: "account", ran: "no"},
		{name: "large body", ask: ask{prompt: strings.Repeat("x", 1<<17)}, status: 413, code: "large", ran: "no"},
		{name: "bad id", ask: ask{headers: header("X-Request-Id", "a b")}, status: 400, code: "header", ran: "no"},
		{name: "bad deadline", ask: ask{headers: header("X-Deadline", "soon")}, status: 400, code: "header", ran: "no"},
		{name: "bad time", ask: ask{headers: header("X-Request-Time", "noon")}, status: 400, code: "header", ran: "no"},
		{name: "bad attempt", ask: ask{headers: header("X-Attempt", "0")}, status: 400, code: "header", ran: "no"},
		{name: "bad priority", ask: ask{headers: header("X-Priority", "high")}, status: 400, code: "header", ran: "no"},
		{name: "bad mark", ask: ask{headers: header("X-Repeatable", "maybe")}, status: 400, code: "header", ran: "no"},
		{name: "deadline passed", ask: ask{headers: header("X-Deadline", "1999-01-01T00:00:00Z")}, status: 504, code: "timeout", ran: "no"},
		{name: "no such service", ask: ask{path: "/services/none/x"}, status: 404, code: "service", ran: "no"},
		{name: "another account's service", ask: ask{key: yard, path: "/services/lookup/x"}, status: 403, code: "account", ran: "no"},
		{name: "dot segments", ask: ask{path: "/services/lookup/%2e%2e/x"}, status: 404, code: "path", ran: "no"},
		{name: "busy", fault: verdict(wire.Verdict_VERDICT_BUSY), status: 503, code: "busy", ran: "no", back: "4"},
		{name: "throttled", fault: verdict(wire.Verdict_VERDICT_THROTTLED), status: 429, code: "throttled", ran: "no", back: "4"},
		{name: "suspect", fault: verdict(wire.Verdict_VERDICT_SUSPECT), status: 422, code: "suspect", ran: "unknown"},
		{name: "not serving", fault: verdict(wire.Verdict_VERDICT_NOT_SERVING), status: 503, code: "unavailable", ran: "no", back: "1"},
		{name: "not the gate", fault: verdict(wire.Verdict_VERDICT_NOT_GATE), status: 503, code: "unavailable", ran: "no", back: "1"},
		{name: "engines gone", fault: killEngines, status: 503, code: "unavailable", ran: "no", back: "1"},
		{name: "not ready", fault: unready, status: 503, code: "unready", ran: "no", back: "1"},
		{name: "not ready, sent again", ask: ask{headers: header("X-Attempt", "2")}, fault: unready, status: 503, code: "unready", ran: "unknown", back: "1"},
		{name: "store down", ask: ask{headers: once}, fault: storeDown, status: 503, code: "records", ran: "no", back: "1"},
		{
			name:  "store down, made before",
			ask:   ask{headers: map[string]string{"X-Repeatable": "no", "X-Request-Time": "1999-12-31T23:59:00Z"}},
			fault: storeDown, status: 503, code: "records", ran: "unknown", back: "1",
		},
		{
			name:  "store down, sent again",
			ask:   ask{headers: map[string]string{"X-Repeatable": "no", "X-Attempt": "2"}},
			fault: storeDown, status: 503, code: "records", ran: "unknown", back: "1",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
				is := is.New(w.t)
				if test.fault != nil {
					test.fault(w)
				}
				if test.ask.prompt == "" {
					test.ask.prompt = "p"
				}
				began := time.Now()
				got := w.send(test.ask)
				is.NoErr(got.err)
				is.Equal(got.status, test.status)
				is.Equal(got.reason.Code, test.code)
				is.Equal(got.reason.Ran, test.ran)
				is.Equal(got.header.Get("X-Ran"), test.ran)
				is.Equal(got.header.Get("Retry-After"), test.back)
				is.True(got.reason.Message != "")
				is.Equal(w.runs("p"), 0)
				is.True(time.Since(began) < time.Second) // nothing is held back
			})
		})
	}
}

func killEngines(w *world) {
	w.network.Kill("e1")
	w.network.Kill("e0") // the last one, to which requests go first
}

func unready(w *world) { w.unready.Store(true) }

func storeDown(w *world) { w.store.Down(true) }
