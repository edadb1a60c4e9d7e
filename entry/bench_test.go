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

// open gives every request a permit for one endpoint at once.
type open struct{ address string }

func (o open) Acquire(context.Context, *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_GRANTED, Permit: 1, Address: o.address, Validity: durationpb.New(time.Second)}, nil
}

func (open) Release(context.Context, *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return &wire.ReleaseResponse{}, nil
}

func (open) Handover(context.Context, *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	return nil, fakes.ErrGate
}

func (open) Strike(context.Context, *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	return nil, fakes.ErrGate
}

// endpoint sends a number of tokens as fast as it can; with a gate, it stops in
// the middle until the gate is closed.
type endpoint struct {
	tokens int
	gate   chan struct{}
}

const event = `{"id":"cmpl-1","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":"abcdefgh ","finish_reason":null}]}`

func (k *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range k.tokens {
		if i == k.tokens/2 && k.gate != nil {
			<-k.gate
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, event)
		_ = control.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", k.tokens)
}

// bench is one daemon's entry before one endpoint, on loopback sockets.
type bench struct {
	endpoint       *endpoint
	direct, daemon *httptest.Server
	client         *http.Client
}

func newBench(b *testing.B, tokens int) *bench {
	k := &endpoint{tokens: tokens}
	r := &bench{endpoint: k, direct: httptest.NewServer(k), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	v := pictured(b, document(), [2]order{})
	transport := entry.NewTransport(false)
	r.daemon = httptest.NewServer(entry.New(entry.Options{
		Self:    "d0",
		View:    func() *view.View { return v },
		Daemons: func() []*wire.Daemon { return []*wire.Daemon{{Id: "d0", PeerAddress: "d0"}} },
		Order:   func(v *view.View, _, _ string, _ []uint64, _ string) []view.Place { return v.Replicas("forge") },
		Gate:    func(string) wire.GateClient { return open{strings.TrimPrefix(r.direct.URL, "http://")} },
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

func (r *bench) open(url string) io.ReadCloser {
	body := `{"model":"m","prompt":"draft a design brief for a gate","stream":true}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+desk)
	response, err := r.client.Do(request)
	if err != nil {
		panic(err)
	}
	return response.Body
}

// call makes one request and returns how long it took.
func (r *bench) call(b *testing.B, url string) time.Duration {
	began := time.Now()
	body := r.open(url)
	data, err := io.ReadAll(body)
	took := time.Since(began)
	if err != nil || !bytes.HasSuffix(data, []byte("[DONE]\n\n")) {
		b.Fatalf("%q: %v", data, err)
	}
	_ = body.Close()
	return took
}

// BenchmarkOverhead compares a call through a daemon with a direct call to the
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

// BenchmarkHeld measures the memory of streams that wait for their next token,
// through a daemon and directly; both hold the caller's and the endpoint's
// side.
func BenchmarkHeld(b *testing.B) {
	for _, streams := range []int{100, 1000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) {
			r := newBench(b, 16)
			var direct, through float64
			for b.Loop() {
				direct = r.held(r.direct.URL, streams)
				through = r.held(r.daemon.URL, streams)
			}
			b.ReportMetric(direct, "direct-B/stream")
			b.ReportMetric(through, "through-B/stream")
			b.ReportMetric(through-direct, "added-B/stream")
		})
	}
}

func (r *bench) held(url string, streams int) float64 {
	r.client.CloseIdleConnections()
	r.endpoint.gate = make(chan struct{})
	before := memory()
	var bodies []io.ReadCloser
	for range streams {
		body := r.open(url)
		_, _ = io.ReadFull(body, make([]byte, 8*len(event)))
		bodies = append(bodies, body)
	}
	after := memory()
	close(r.endpoint.gate)
	for _, body := range bodies {
		_, _ = io.Copy(io.Discard, body)
		_ = body.Close()
	}
	return (after - before) / float64(streams)
}

func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkPass measures what passing on one token costs the daemon, without
// sockets.
func BenchmarkPass(b *testing.B) {
	const tokens = 1000
	var text bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, event)
	}
	fmt.Fprintf(&text, "id: %d\ndata: [DONE]\n\n", tokens)
	v := pictured(b, document(), [2]order{})
	e := entry.New(entry.Options{
		Self:    "d0",
		View:    func() *view.View { return v },
		Daemons: func() []*wire.Daemon { return []*wire.Daemon{{Id: "d0", PeerAddress: "d0"}} },
		Order:   func(v *view.View, _, _ string, _ []uint64, _ string) []view.Place { return v.Replicas("forge") },
		Gate:    func(string) wire.GateClient { return open{"e0:80"} },
		Engine: engine.New(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader(text.Bytes()))}, nil
		}),
		Count: func(tally.Sample) {},
		Log:   logr.Discard(),
		Rand:  rand.New(rand.NewPCG(1, 1)),
	})
	b.ReportAllocs()
	for b.Loop() {
		r, err := ask{stream: true}.request(context.Background())
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

// discard counts what is written.
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
