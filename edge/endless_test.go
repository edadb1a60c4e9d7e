package edge

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// A faulty engine that sends without end, in a head or in a body, filled the memory of each
// daemon that had asked it for a report or given it an order: 8 to 18 MB a call.
func TestAnswersOfEnginesWithoutEnd(t *testing.T) {
	const (
		calls  = 60
		bounds = 184 << 20 / 4 // bytes: what the garbage collector leaves of the smallest instance, less as much for callers
	)
	for _, c := range []struct{ name, begin, again string }{
		{"a body", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", "x"},
		{"a body of spaces", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", " "},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"one header field", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := fakes.Endless(c.begin, c.again)
			is.NoErr(err)
			defer stop()
			to := site.Endpoint{ID: "e", Address: address}
			transport := newTransport(conns.Dial)
			defer transport.CloseIdleConnections()
			engines := platform.NewEngines(transport)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			peak := fakes.PeakHeap(func() {
				var all sync.WaitGroup
				for i := range calls {
					all.Go(func() {
						var err error
						if i%2 == 0 {
							_, err = engines.Report(ctx, to)
						} else {
							_, err = engines.SendOrder(ctx, to, platform.Order{Verb: platform.Leave})
						}
						if err == nil {
							t.Error("no error")
						}
					})
				}
				all.Wait()
			})
			t.Logf("%d bytes at the most", peak)
			is.True(peak < bounds)
		})
	}
}
