package daemon

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
)

// A faulty endpoint that sends without end, in a head, a body or a stream, filled the memory
// of each daemon that had asked it.
func TestAnswersOfEndpointsWithoutEnd(t *testing.T) {
	const (
		calls = 60
		bound = 184 << 20 / 4 // bytes: a quarter of the smallest instance
	)
	body := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4000000000\r\n\r\n"
	probe := func(ctx context.Context, c clients, address string) error {
		_, err := engine.New(c.probe.Do).Probe(ctx, address)
		return err
	}
	order := func(ctx context.Context, c clients, address string) error {
		_, err := engine.New(c.order.Do).Order(ctx, address, engine.Order{})
		return err
	}
	stream := func(ctx context.Context, c clients, address string) error {
		s, err := engine.New(c.singleUse.Do).Open(ctx, address, engine.Request{ID: "r"})
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	}
	for _, c := range []struct {
		name, begin, again string
		call               func(context.Context, clients, string) error
	}{
		{"body of a report", body, "x", probe},
		{"body of an order's answer", body, " ", order},
		{"header field of a report", "HTTP/1.1 200 OK\r\nA: ", "x", probe},
		{"header fields of an order's answer", "HTTP/1.1 200 OK\r\n", "A: b\r\n", order},
		{"header fields of a stream", "HTTP/1.1 200 OK\r\n", "A: b\r\n", stream},
		{"line of a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x", stream},
		{"chunks of a stream", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", stream},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := fakes.Endless(c.begin, c.again)
			is.NoErr(err)
			defer stop()
			used := newClients(Options{Dial: (&net.Dialer{}).DialContext})
			defer used.close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			peak := fakes.PeakHeap(func() {
				var all sync.WaitGroup
				for range calls {
					all.Go(func() {
						if c.call(ctx, used, address) == nil {
							t.Error("no error")
						}
					})
				}
				all.Wait()
			})
			t.Logf("%d bytes at the most", peak)
			is.True(peak < bound)
		})
	}
}
