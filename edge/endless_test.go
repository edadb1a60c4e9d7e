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

// maxEndless is how many bytes of the heap answers without end may take: what the garbage
// collector leaves of the smallest instance, of 184 MB, less as much for callers.
const maxEndless = 184 << 20 / 4

// endlessAnswers are answers that go on with the same bytes until the caller closes.
var endlessAnswers = []struct{ name, begin, again string }{
	{"a body", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", "x"},
	{"a body of spaces", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", " "},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"one header field", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
}

// A faulty engine that sends without end, in a head or in a body, filled the memory of each
// daemon that had asked it for a report or given it an order: 8 to 18 MB a call.
func TestAnswersOfEnginesWithoutEnd(t *testing.T) {
	const calls = 60
	for _, c := range endlessAnswers {
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
			is.True(peak < maxEndless)
		})
	}
}

// A daemon makes one call of each of these kinds at a time. If the store answers them
// without end, they fit into the smallest instance together.
func TestAnswersOfTheStoreWithoutEnd(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := fakes.Endless(c.begin, c.again)
			is.NoErr(err)
			defer stop()
			transport := newTransport(conns.Dial)
			defer transport.CloseIdleConnections()
			store := platform.NewStore(address, transport.Single().Do)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			calls := []func() error{
				func() error {
					_, err := store.Watch(ctx, platform.AllKeys, 0, 1, time.Second) // of the watcher, which lists the store or reads its revision otherwise
					return err
				},
				func() error { return store.Renew(ctx, platform.Lease{ID: 1}) }, // of the daemon's record
				func() error {
					_, err := store.Commit(ctx, platform.Txn{}) // of the keeper
					return err
				},
				func() error {
					_, err := store.Grant(ctx, time.Second) // of the parts of prompts
					return err
				},
			}
			peak := fakes.PeakHeap(func() {
				var all sync.WaitGroup
				for _, call := range calls {
					all.Go(func() {
						if call() == nil {
							t.Error("no error")
						}
					})
				}
				all.Wait()
			})
			t.Logf("%d bytes at the most", peak)
			is.True(peak < maxEndless)
		})
	}
}
