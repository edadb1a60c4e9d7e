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

// TestRefusals checks the status, code, headers and message of each refusal,
// and that the request was not run.
func TestRefusals(t *testing.T) {
	header := func(name, value string) map[string]string { return map[string]string{name: value} }
	verdict := func(v wire.Verdict) func(*cluster) {
		return func(cl *cluster) {
			cl.gates.Verdict = func(*wire.AcquireRequest) *wire.AcquireResponse {
				return &wire.AcquireResponse{Verdict: v, RetryAfter: durationpb.New(4 * time.Second)}
			}
		}
	}
	once := header("X-Repeatable", "no")
	tests := []struct {
		name       string
		request    request
		fault      func(*cluster)
		status     int
		code       string
		ran        string
		retryAfter string // Retry-After
	}{
		{name: "path", request: request{path: "/v1/nothing"}, status: 404, code: "path", ran: "no"},
		{name: "method", request: request{method: "PUT"}, status: 405, code: "method", ran: "no"},
		{name: "wrong key", request: request{key: "wrong"}, status: 401, code: "key", ran: "no"},
		{name: "hash as key", request: request{key: hashKey(deskKey)}, status: 401, code: "key", ran: "no"},
		{name: "another scheme", request: request{headers: header("Authorization", "Basic "+deskKey)}, status: 401, code: "key", ran: "no"},
		{name: "bad JSON", request: request{body: `{"model":`}, status: 400, code: "json", ran: "no"},
		{name: "two objects", request: request{body: `{"model":"m"} {}`}, status: 400, code: "json", ran: "no"},
		{name: "null", request: request{body: `null`}, status: 400, code: "json", ran: "no"},
		{name: "no model named", request: request{body: `{}`}, status: 422, code: "request", ran: "no"},
		{name: "stream is a text", request: request{body: `{"model":"m","stream":"yes"}`}, status: 422, code: "request", ran: "no"},
		{name: "too many tokens", request: request{tokens: 1e6}, status: 422, code: "request", ran: "no"},
		{name: "unknown model", request: request{body: `{"model":"x"}`}, status: 404, code: "model", ran: "no"},
		{name: "another account's model", request: request{body: `{"model":"n"}`}, status: 403, code: "account", ran: "no"},
		{name: "large body", request: request{prompt: strings.Repeat("x", 1<<17)}, status: 413, code: "large", ran: "no"},
		{name: "bad id", request: request{headers: header("X-Request-Id", "a b")}, status: 400, code: "header", ran: "no"},
		{name: "bad deadline", request: request{headers: header("X-Deadline", "soon")}, status: 400, code: "header", ran: "no"},
		{name: "bad time", request: request{headers: header("X-Request-Time", "noon")}, status: 400, code: "header", ran: "no"},
		{name: "bad attempt", request: request{headers: header("X-Attempt", "0")}, status: 400, code: "header", ran: "no"},
		{name: "bad priority", request: request{headers: header("X-Priority", "high")}, status: 400, code: "header", ran: "no"},
		{name: "bad mark", request: request{headers: header("X-Repeatable", "maybe")}, status: 400, code: "header", ran: "no"},
		{name: "deadline passed", request: request{headers: header("X-Deadline", "1999-01-01T00:00:00Z")}, status: 504, code: "timeout", ran: "no"},
		{name: "no such service", request: request{path: "/services/none/x"}, status: 404, code: "service", ran: "no"},
		{name: "another account's service", request: request{key: yardKey, path: "/services/lookup/x"}, status: 403, code: "account", ran: "no"},
		{name: "dot segments", request: request{path: "/services/lookup/%2e%2e/x"}, status: 404, code: "path", ran: "no"},
		{name: "busy", fault: verdict(wire.Verdict_VERDICT_BUSY), status: 503, code: "busy", ran: "no", retryAfter: "4"},
		{name: "throttled", fault: verdict(wire.Verdict_VERDICT_THROTTLED), status: 429, code: "throttled", ran: "no", retryAfter: "4"},
		{name: "suspect", fault: verdict(wire.Verdict_VERDICT_SUSPECT), status: 422, code: "suspect", ran: "unknown"},
		{name: "not serving", fault: verdict(wire.Verdict_VERDICT_NOT_SERVING), status: 503, code: "unavailable", ran: "no", retryAfter: "1"},
		{name: "not the gate", fault: verdict(wire.Verdict_VERDICT_NOT_GATE), status: 503, code: "unavailable", ran: "no", retryAfter: "1"},
		{name: "engines gone", fault: killEngines, status: 503, code: "unavailable", ran: "no", retryAfter: "1"},
		{name: "not ready", fault: unready, status: 503, code: "unready", ran: "no", retryAfter: "1"},
		{name: "not ready, sent again", request: request{headers: header("X-Attempt", "2")}, fault: unready, status: 503, code: "unready", ran: "unknown", retryAfter: "1"},
		{name: "store down", request: request{headers: once}, fault: storeDown, status: 503, code: "records", ran: "no", retryAfter: "1"},
		{
			name:    "store down, made before",
			request: request{headers: map[string]string{"X-Repeatable": "no", "X-Request-Time": "1999-12-31T23:59:00Z"}},
			fault:   storeDown, status: 503, code: "records", ran: "unknown", retryAfter: "1",
		},
		{
			name:    "store down, sent again",
			request: request{headers: map[string]string{"X-Repeatable": "no", "X-Attempt": "2"}},
			fault:   storeDown, status: 503, code: "records", ran: "unknown", retryAfter: "1",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
				is := is.New(cl.t)
				if test.fault != nil {
					test.fault(cl)
				}
				if test.request.prompt == "" {
					test.request.prompt = "p"
				}
				began := time.Now()
				got := cl.send(test.request)
				is.NoErr(got.err)
				is.Equal(got.status, test.status)
				is.Equal(got.reason.Code, test.code)
				is.Equal(got.reason.Ran, test.ran)
				is.Equal(got.header.Get("X-Ran"), test.ran)
				is.Equal(got.header.Get("Retry-After"), test.retryAfter)
				is.True(got.reason.Message != "")
				is.Equal(cl.runs("p"), 0)
				is.True(time.Since(began) < time.Second) // a refusal is not delayed
			})
		})
	}
}

func killEngines(cl *cluster) {
	cl.network.Kill("e1")
	cl.network.Kill("e0") // last, because requests go to it first
}

func unready(cl *cluster) { cl.unready.Store(true) }

func storeDown(cl *cluster) { cl.store.Down(true) }
