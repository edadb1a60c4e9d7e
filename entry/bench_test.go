package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// granting is a gate that gives every request a permit for one endpoint at
// once.
type granting struct{ address string }

func (g granting) Acquire(context.Context, *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_GRANTED, Permit: 1, Address: g.address, Validity: durationpb.New(time.Second)}, nil
}

func (granting) Release(context.Context, *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return &wire.ReleaseResponse{}, nil
}

func (granting) Handover(context.Context, *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	return nil, fakes.ErrGate
}

func (granting) Strike(context.Context, *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	return nil, fakes.ErrGate
}

// endpoint sends a number of tokens as fast as it can. If resume is set, it stops
// halfway until that channel is closed.
type endpoint struct {
	tokens int
	resume chan struct{}
}

const event = `{"id":"cmpl-1","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":"abcdefgh ","finish_reason":null}]}`

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range e.tokens {
		if i == e.tokens/2 && e.resume != nil {
			<-e.resume
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, event)
		_ = control.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", e.tokens)
}

// bench is one daemon's entry with one endpoint, on loopback sockets.
type bench struct {
	endpoint       *endpoint
	direct, daemon *httptest.Server
	client         *http.Client
}

func newBench(b *testing.B, tokens int) *bench {
	e := &endpoint{tokens: tokens}
	r := &bench{endpoint: e, direct: httptest.NewServer(e), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	v := newView(b, document(), [2]lastOrder{})
	transport := entry.NewTransport(false)
	r.daemon = httptest.NewServer(entry.New(entry.Options{
		Self:    "d0",
		View:    func() *view.View { return v },
		Daemons: func() []*wire.Daemon { return []*wire.Daemon{{Id: "d0", PeerAddress: "d0"}} },
		Order:   func(v *view.View, _, _ string, _ []uint64, _ string) []view.Location { return v.Replicas("forge") },
		Gate:    func(string) wire.GateClient { return granting{strings.TrimPrefix(r.direct.URL, "http://")} },
		Engine:  engine.New((&http.Client{Transport: transport}).Do),
		Count:   func(tally.Sample) {},
		Log:     logr.Discard(),
		Rand:    rand.New(rand.NewPCG(1, 1)),
	}))
	b.Cleanup(func() {
		r.daemon.Close()
		r.direct.Close()
	})
	return r
}

// openStream sends a request for a stream and returns the answer's body.
func (r *bench) openStream(url string) io.ReadCloser {
	body := `{"model":"m","prompt":"draft a design brief for a gate","stream":true}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+deskKey)
	response, err := r.client.Do(request)
	if err != nil {
		panic(err)
	}
	return response.Body
}

// call sends one request and returns its duration.
func (r *bench) call(b *testing.B, url string) time.Duration {
	began := time.Now()
	body := r.openStream(url)
	data, err := io.ReadAll(body)
	took := time.Since(began)
	if err != nil || !bytes.HasSuffix(data, []byte("[DONE]\n\n")) {
		b.Fatalf("%q: %v", data, err)
	}
	_ = body.Close()
	return took
}

// BenchmarkOverhead compares calls through a daemon with direct calls to the
// endpoint, in pairs.
func BenchmarkOverhead(b *testing.B) {
	for _, tokens := range []int{1, 64, 512} {
		b.Run(fmt.Sprint("tokens=", tokens), func(b *testing.B) {
			r := newBench(b, tokens)
			var direct, through time.Duration
			for b.Loop() {
				direct += r.call(b, r.direct.URL)
				through += r.call(b, r.daemon.URL)
			}
			n := float64(b.N)
			b.ReportMetric(float64(direct.Microseconds())/n, "direct-µs/op")
			b.ReportMetric(float64(through.Microseconds())/n, "through-µs/op")
			b.ReportMetric(float64((through-direct).Nanoseconds())/n/float64(tokens), "added-ns/token")
		})
	}
}

// BenchmarkStreamMemory measures the memory of streams that wait for their next
// token, through a daemon and directly. Both figures contain the caller's and
// the endpoint's side.
func BenchmarkStreamMemory(b *testing.B) {
	for _, streams := range []int{100, 1000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) {
			r := newBench(b, 16)
			var direct, through float64
			for b.Loop() {
				direct = r.heldMemory(r.direct.URL, streams)
				through = r.heldMemory(r.daemon.URL, streams)
			}
			b.ReportMetric(direct, "direct-B/stream")
			b.ReportMetric(through, "through-B/stream")
			b.ReportMetric(through-direct, "added-B/stream")
		})
	}
}

// heldMemory returns the bytes that each waiting stream holds.
func (r *bench) heldMemory(url string, streams int) float64 {
	r.client.CloseIdleConnections()
	r.endpoint.resume = make(chan struct{})
	before := memory()
	var bodies []io.ReadCloser
	for range streams {
		body := r.openStream(url)
		_, _ = io.ReadFull(body, make([]byte, 8*len(event)))
		bodies = append(bodies, body)
	}
	after := memory()
	close(r.endpoint.resume)
	for _, body := range bodies {
		_, _ = io.Copy(io.Discard, body)
		_ = body.Close()
	}
	return (after - before) / float64(streams)
}

// memory returns the bytes in use on the heap and on stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkPassToken measures the daemon's cost of forwarding one token,
// without sockets.
func BenchmarkPassToken(b *testing.B) {
	const tokens = 1000
	var text bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, event)
	}
	fmt.Fprintf(&text, "id: %d\ndata: [DONE]\n\n", tokens)
	v := newView(b, document(), [2]lastOrder{})
	e := entry.New(entry.Options{
		Self:    "d0",
		View:    func() *view.View { return v },
		Daemons: func() []*wire.Daemon { return []*wire.Daemon{{Id: "d0", PeerAddress: "d0"}} },
		Order:   func(v *view.View, _, _ string, _ []uint64, _ string) []view.Location { return v.Replicas("forge") },
		Gate:    func(string) wire.GateClient { return granting{"e0:80"} },
		Engine: engine.New(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader(text.Bytes()))}, nil
		}),
		Count: func(tally.Sample) {},
		Log:   logr.Discard(),
		Rand:  rand.New(rand.NewPCG(1, 1)),
	})
	b.ReportAllocs()
	for b.Loop() {
		r, err := request{stream: true}.httpRequest(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		w := &discard{header: http.Header{}}
		e.ServeHTTP(w, r)
		if w.size < tokens*len(event) {
			b.Fatal(w.size, " bytes")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}

// discard is a ResponseWriter that counts the bytes written.
type discard struct {
	header http.Header
	code   int
	size   int
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) WriteHeader(code int)        { d.code = code }
func (d *discard) FlushError() error           { return nil }
func (d *discard) Flush()                      {}
func (d *discard) Write(p []byte) (int, error) { d.size += len(p); return len(p), nil }

// SetWriteDeadline does nothing.
func (d *discard) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (d *discard) SetReadDeadline(time.Time) error { return nil }
