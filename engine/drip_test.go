package engine_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
)

// An endpoint that sends comments, empty lines or parts of an event now and then is as
// silent as one that sends nothing: the limit counts from one event to the next.
func TestDrippingStreamIsEndedInTime(t *testing.T) {
	for _, drip := range []string{": wait\n\n", "\n", "x"} {
		t.Run(drip, func(t *testing.T) {
			serve := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
				for r.Context().Err() == nil {
					_ = http.NewResponseController(w).Flush()
					wait(r, 300*time.Millisecond)
					_, _ = io.WriteString(w, drip)
				}
			}
			withEndpoint(t, serve, func(t *testing.T, is *is.I, c *engine.Client) {
				c.Limits = func() engine.Limits { return engine.Limits{First: 5 * time.Second, Gap: 2 * time.Second} }
				stream, err := c.Open(t.Context(), "e:80", engine.Request{ID: "q", Path: "/", Body: []byte("{}")})
				is.NoErr(err)
				start := time.Now()
				_, err = drain(stream)
				is.Equal(engine.RanOf(err), engine.Unknown)
				is.Equal(time.Since(start), 2*time.Second)
				is.NoErr(stream.Close())
			})
		})
	}
}
