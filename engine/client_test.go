package engine_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
)

// withEndpoint runs test in a synctest bubble, with handler as the endpoint e:80.
func withEndpoint(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, is *is.I, c *engine.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewNetwork()
		defer n.Close()
		n.Serve("e:80", handler)
		test(t, is.New(t), engine.New(n.Client("a").Do))
	})
}

func refuse(status int, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if ran != "" {
			w.Header().Set(engine.HeaderRan, ran)
		}
		http.Error(w, "no", status)
	}
}

func TestOpenErrors(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		kind    engine.Kind
		ran     engine.Ran
	}{
		{"full", refuse(http.StatusServiceUnavailable, "no"), engine.Refused, engine.No},
		{"old fence", refuse(http.StatusConflict, "no"), engine.Stale, engine.No},
		{"wrong request", refuse(http.StatusBadRequest, "no"), engine.Invalid, engine.No},
		{"internal error", refuse(http.StatusInternalServerError, ""), engine.Broken, engine.Unknown},
		{"full, no X-Ran header", refuse(http.StatusServiceUnavailable, ""), engine.Broken, engine.Unknown},
		{"wrong request, no X-Ran header", refuse(http.StatusBadRequest, ""), engine.Broken, engine.Unknown},
		{"ran", refuse(http.StatusServiceUnavailable, "yes"), engine.Broken, engine.Unknown},
		{"connection aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, engine.Broken, engine.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEndpoint(t, test.handler, func(t *testing.T, is *is.I, c *engine.Client) {
				_, err := c.Open(t.Context(), "e:80", engine.Request{ID: "q", Path: "/v1/completions", Body: []byte("{}")})
				var fault *engine.Error
				is.True(errors.As(err, &fault))
				is.Equal(fault.Kind, test.kind)
				is.Equal(engine.RanOf(err), test.ran)
			})
		})
	}
}

func TestStreamReadsCompleteEvents(t *testing.T) {
	tests := []struct {
		name string
		body string
		data []string
		err  error // nil for a complete stream
	}{
		{"whole", "id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n", []string{"a"}, nil},
		{"comments, unknown fields, CRLF", ": hm\r\nretry: 5\r\nid:0\r\ndata:a\r\n\r\ndata: [DONE]\r\n\r\n", []string{"a"}, nil},
		{"ends early", "id: 0\ndata: a\n\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"ends inside an event", "id: 0\ndata: a\n\nid: 1\ndata: [DONE]", []string{"a"}, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serve := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.body) }
			withEndpoint(t, serve, func(t *testing.T, is *is.I, c *engine.Client) {
				stream, err := c.Open(t.Context(), "e:80", engine.Request{ID: "q", Path: "/", Body: []byte("{}")})
				is.NoErr(err)
				defer stream.Close()
				data, err := drain(stream)
				is.Equal(data, test.data)
				is.True(errors.Is(err, test.err))
				if test.err != nil {
					is.Equal(engine.RanOf(err), engine.Unknown)
				}
			})
		})
	}
}

// drain returns the data of all events, and the error that ended the stream
// unless it ended with io.EOF.
func drain(stream *engine.Stream) ([]string, error) {
	var data []string
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if !chunk.Last {
			data = append(data, string(chunk.Data))
		}
	}
}

func TestStreamTimeouts(t *testing.T) {
	tests := []struct {
		name             string
		headers, between time.Duration // delay before the headers, and between events
		timeout          time.Duration // time at which the client fails, 0 for never
	}{
		{name: "in time", headers: time.Second, between: time.Second},
		{name: "no headers", headers: time.Hour, timeout: 5 * time.Second},
		{name: "late event", between: time.Minute, timeout: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serve := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				wait(r, test.headers)
				for _, event := range []string{"id: 0\ndata: a\n\n", "id: 1\ndata: [DONE]\n\n"} {
					_, _ = io.WriteString(w, event)
					_ = http.NewResponseController(w).Flush()
					wait(r, test.between)
				}
			}
			withEndpoint(t, serve, func(t *testing.T, is *is.I, c *engine.Client) {
				c.Limits = func() engine.Limits { return engine.Limits{First: 5 * time.Second, Gap: 2 * time.Second} }
				start := time.Now()
				stream, err := c.Open(t.Context(), "e:80", engine.Request{ID: "q", Path: "/", Body: []byte("{}")})
				if err == nil {
					_, err = drain(stream)
				}
				is.Equal(err != nil, test.timeout > 0)
				if err != nil {
					is.Equal(engine.RanOf(err), engine.Unknown)
					is.Equal(time.Since(start), test.timeout)
				}
				if stream != nil {
					is.NoErr(stream.Close())
				}
			})
		})
	}
}

func wait(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// TestOpenIsSentOnce checks that a POST on a reused connection that the endpoint
// aborts is not sent again: net/http must not retry a request that may have run.
func TestOpenIsSentOnce(t *testing.T) {
	runs := 0
	serve := func(http.ResponseWriter, *http.Request) {
		runs++
		if runs > 1 {
			panic(http.ErrAbortHandler)
		}
	}
	withEndpoint(t, serve, func(t *testing.T, is *is.I, c *engine.Client) {
		request := engine.Request{ID: "q", Path: "/", Body: []byte(strings.Repeat("x", 100))}
		stream, err := c.Open(t.Context(), "e:80", request)
		is.NoErr(err)
		_, _ = drain(stream)
		is.NoErr(stream.Close())
		_, err = c.Open(t.Context(), "e:80", request)
		is.Equal(engine.RanOf(err), engine.Unknown)
		is.Equal(runs, 2)
	})
}
