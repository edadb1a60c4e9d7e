package fakes_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// fixture is one replica of engines on the hosts e0, e1 and so on, and a client
// on host a.
type fixture struct {
	network *fakes.Network
	engines []*fakes.Engine
	client  *engine.Client
}

// firstMember is the address of the member with rank 0.
const firstMember = "e0:80"

// withEngines runs a test with a replica of size engines that have loaded their
// model.
func withEngines(t *testing.T, size int, options fakes.EngineOptions, test func(t *testing.T, is *is.I, b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fixture{network: fakes.NewNetwork()}
		b.client = engine.New(b.network.Client("a").Do)
		var members []string
		for i := range size {
			host := fmt.Sprintf("e%d", i)
			members = append(members, host+":80")
			options.ID = host
			options.Member = engine.New(b.network.Client(host).Do).Probe
			b.engines = append(b.engines, fakes.NewEngine(options))
			b.network.Serve(host+":80", b.engines[i])
		}
		defer b.close()
		for rank, member := range members {
			_, err := b.client.Order(t.Context(), member, engine.Order{
				Fence: 5, Replica: "r1", Model: "m", Version: "1", Rank: rank, Members: members,
			})
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		test(t, is, b)
	})
}

func (b *fixture) close() {
	for _, e := range b.engines {
		e.Close()
	}
	b.network.Close()
}

// request returns a request for four tokens.
func request(id string) engine.Request {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":4,"stream":true}`, id)
	return engine.Request{ID: id, Path: "/v1/completions", Body: []byte(body), Fence: 5}
}

// run sends a request and reads its answer to the end.
func (b *fixture) run(ctx context.Context, r engine.Request) (string, error) {
	stream, err := b.client.Open(ctx, firstMember, r)
	if err != nil {
		return "", err
	}
	stream.First, stream.Gap = 2*time.Second, time.Second
	defer stream.Close()
	return readText(stream)
}

// readText reads a stream to its end and returns its tokens.
func readText(stream *engine.Stream) (string, error) {
	var all strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		var event struct {
			Choices []struct{ Text string }
		}
		if json.Unmarshal(chunk.Data, &event) == nil && len(event.Choices) > 0 {
			all.WriteString(event.Choices[0].Text)
		}
	}
}

// kindOfEngineError returns the kind of an *engine.Error, or -1 for any other
// error.
func kindOfEngineError(err error) engine.Kind {
	var fault *engine.Error
	if errors.As(err, &fault) {
		return fault.Kind
	}
	return -1
}

// Each fault gives the client the kind of error that says whether the request
// may have run, and the engine counts the run only if it began.
func TestEngineFaults(t *testing.T) {
	const none = engine.Kind(-1)
	unchanged := func(r engine.Request) engine.Request { return r }
	tests := []struct {
		name  string
		fault func(b *fixture)
		alter func(r engine.Request) engine.Request
		kind  engine.Kind
		runs  int
	}{
		{name: "none", kind: none, runs: 1},
		{name: "nobody listens", fault: func(b *fixture) { b.network.Kill("e0") }, kind: engine.Unsent},
		{name: "unreachable", fault: func(b *fixture) { b.network.Cut("a", "e0"); b.network.Reset("a", "e0") }, kind: engine.Unsent},
		{name: "dead", fault: func(b *fixture) { b.engines[0].Kill() }, kind: engine.Broken},
		{name: "restarted", fault: func(b *fixture) { b.engines[0].Restart() }, kind: engine.Refused},
		{name: "cold again", fault: func(b *fixture) { b.engines[0].RestartCold() }, kind: none, runs: 1},
		{name: "paused", fault: func(b *fixture) { b.engines[0].Pause() }, kind: engine.Broken},
		{name: "straggling", fault: func(b *fixture) { b.engines[0].SetSlowness(1000) }, kind: engine.Broken, runs: 1},
		{name: "a member is dead", fault: func(b *fixture) { b.engines[1].Kill() }, kind: engine.Broken},
		{name: "silent connection", fault: func(b *fixture) { b.network.Silence("a", "e0") }, kind: engine.Broken},
		{name: "old fence", alter: func(r engine.Request) engine.Request { r.Fence = 4; return r }, kind: engine.Stale},
		{name: "bad body", alter: func(r engine.Request) engine.Request { r.Body = []byte("{"); return r }, kind: engine.Invalid},
		{
			name:  "crashing request",
			alter: func(r engine.Request) engine.Request { r.Body = []byte(`{"user":"crash"}`); return r },
			kind:  engine.Broken,
			runs:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEngines(t, 2, fakes.EngineOptions{}, func(t *testing.T, is *is.I, b *fixture) {
				if test.fault != nil {
					test.fault(b)
					time.Sleep(500 * time.Millisecond)
				}
				if test.alter == nil {
					test.alter = unchanged
				}
				b.client.Limits = func() engine.Limits { return engine.Limits{First: time.Second} }
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				answer, err := b.run(ctx, test.alter(request("q1")))
				is.Equal(kindOfEngineError(err), test.kind)
				if err == nil {
					is.Equal(answer, fakes.Answer("q1", 4))
				}
				is.Equal(b.engines[0].Runs("q1"), test.runs)
			})
		})
	}
}

// A cold engine crashes on more requests in progress than it can take. That
// number grows with completed requests and is reset by a cold restart.
func TestEngineSlowStart(t *testing.T) {
	options := fakes.EngineOptions{ColdLimit: 1, LimitStep: 2, WarmLimit: 4}
	withEngines(t, 1, options, func(t *testing.T, is *is.I, b *fixture) {
		failures := func(n int) (failed int) {
			results := make(chan error, n)
			for i := range n {
				go func() {
					_, err := b.run(t.Context(), request(fmt.Sprint(i)))
					results <- err
				}()
			}
			for range n {
				if <-results != nil {
					failed++
				}
			}
			return failed
		}
		is.Equal(failures(1), 0)
		is.Equal(failures(1), 0)
		is.Equal(failures(2), 0) // two requests are completed: it can take two
		is.Equal(failures(3), 0)
		is.Equal(len(b.engines[0].Violations()), 0)
		b.engines[0].RestartCold()
		is.True(failures(2) > 0) // cold again: it can take one
		is.Equal(b.engines[0].Violations()[0].Breach, fakes.Overload)
	})
}

// A stream whose connection went silent is resumed from an offset without
// running again. A cancelled request is unknown afterwards.
func TestEngineResumeAndCancel(t *testing.T) {
	withEngines(t, 1, fakes.EngineOptions{}, func(t *testing.T, is *is.I, b *fixture) {
		ctx := t.Context()
		stream, err := b.client.Open(ctx, firstMember, request("q1"))
		is.NoErr(err)
		_, err = stream.Next()
		is.NoErr(err)
		b.network.Silence("a", "e0")
		stream.Gap = time.Second
		_, err = stream.Next()
		is.Equal(kindOfEngineError(err), engine.Broken)
		is.NoErr(stream.Close())
		stream, err = b.client.Resume(ctx, firstMember, "q1", 1, 5)
		is.NoErr(err)
		rest, err := readText(stream)
		is.NoErr(err)
		is.NoErr(stream.Close())
		is.Equal(rest, fakes.Answer("q1", 4)[9:])
		is.Equal(b.engines[0].Runs("q1"), 1)
		is.NoErr(b.client.Cancel(ctx, firstMember, "q1"))
		is.Equal(kindOfEngineError(b.client.Cancel(ctx, firstMember, "q1")), engine.Gone)
		_, err = b.client.Resume(ctx, firstMember, "q1", 0, 5)
		is.Equal(kindOfEngineError(err), engine.Gone)
	})
}

// A request runs on for two seconds after its caller disconnects, and is then
// cancelled.
func TestEngineCancelsAfterCallerDisconnects(t *testing.T) {
	withEngines(t, 1, fakes.EngineOptions{Token: time.Minute}, func(t *testing.T, is *is.I, b *fixture) {
		stream, err := b.client.Open(t.Context(), firstMember, request("q1"))
		is.NoErr(err)
		is.NoErr(stream.Close())
		time.Sleep(time.Second)
		report, err := b.client.Probe(t.Context(), firstMember)
		is.NoErr(err)
		is.Equal(report.Running, 1)
		time.Sleep(2 * time.Second)
		report, err = b.client.Probe(t.Context(), firstMember)
		is.NoErr(err)
		is.Equal(report.Running, 0)
	})
}

// An engine refuses an order with an old fencing number, unless it is configured
// to accept it.
func TestEngineOrders(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprint("ignore ", ignore), func(t *testing.T) {
			options := fakes.EngineOptions{IgnoreFence: ignore, Load: fakes.NewLoader(1).Weights(10)}
			withEngines(t, 1, options, func(t *testing.T, is *is.I, b *fixture) {
				report, err := b.client.Probe(t.Context(), firstMember)
				is.NoErr(err)
				is.Equal(report.State, engine.Loading)
				time.Sleep(10 * time.Second)
				report, err = b.client.Probe(t.Context(), firstMember)
				is.NoErr(err)
				is.Equal(report.State, engine.Ready)
				_, err = b.client.Order(t.Context(), firstMember, engine.Order{Fence: 4})
				is.Equal(kindOfEngineError(err) == engine.Stale, !ignore)
				report, err = b.client.Probe(t.Context(), firstMember)
				is.NoErr(err)
				is.Equal(report.State == engine.Idle, ignore)
			})
		})
	}
}

// Cache events become visible after a delay, and a lost one leaves a gap in the
// sequence.
func TestEngineCacheEventsLagAndGap(t *testing.T) {
	options := fakes.EngineOptions{EventLag: 3 * time.Second, LoseEvery: 2}
	withEngines(t, 1, options, func(t *testing.T, is *is.I, b *fixture) {
		r := request(strings.Repeat("x", 3*engine.BlockSize))
		_, err := b.run(t.Context(), r)
		is.NoErr(err)
		feed, err := b.client.Feed(t.Context(), firstMember, 0)
		is.NoErr(err)
		is.Equal(len(feed.Events), 0)
		time.Sleep(3 * time.Second)
		feed, err = b.client.Feed(t.Context(), firstMember, 0)
		is.NoErr(err)
		is.Equal(len(feed.Events), 2)
		is.Equal(feed.Events[1].Sequence, uint64(3))
	})
}

// A call whose answer is lost counts as a run like any other.
func TestPlainCountsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakes.NewNetwork()
		defer n.Close()
		p := fakes.NewPlain()
		n.Serve("p:80", p)
		call := func() error {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://p:80/file", strings.NewReader("x"))
			is.NoErr(err)
			r.Header.Set(fakes.HeaderIdempotencyKey, "k")
			response, err := n.Client("a").Do(r)
			if err != nil {
				return err
			}
			return response.Body.Close()
		}
		is.NoErr(call())
		p.LoseAnswers(1)
		is.True(call() != nil)
		is.True(p.Runs("k") >= 2)
	})
}

// With Reorder 2, event 1 is sent after event 2, which is sent twice.
func TestEngineReordersEvents(t *testing.T) {
	withEngines(t, 1, fakes.EngineOptions{Reorder: 2}, func(t *testing.T, is *is.I, b *fixture) {
		stream, err := b.client.Open(t.Context(), firstMember, request("q1"))
		is.NoErr(err)
		defer stream.Close()
		var offsets []int
		for {
			chunk, err := stream.Next()
			if err != nil {
				is.Equal(err, io.EOF)
				break
			}
			offsets = append(offsets, chunk.Offset)
		}
		is.Equal(offsets, []int{0, 2, 1, 2, 3, 4})
	})
}

// The load in a report lags, while the fencing number is current.
func TestEngineReportsLoadWithLag(t *testing.T) {
	options := fakes.EngineOptions{LoadLag: 2 * time.Second, Token: time.Second}
	withEngines(t, 1, options, func(t *testing.T, is *is.I, b *fixture) {
		stream, err := b.client.Open(t.Context(), firstMember, request("q1"))
		is.NoErr(err)
		defer stream.Close()
		report, err := b.client.Probe(t.Context(), firstMember)
		is.NoErr(err)
		is.Equal(report.Running, 0)
		is.Equal(report.Fence, uint64(5))
		time.Sleep(2 * time.Second)
		report, err = b.client.Probe(t.Context(), firstMember)
		is.NoErr(err)
		is.Equal(report.Running, 1)
	})
}

// A request to a replica with a dead member never runs and is recorded as a
// violation.
func TestEngineRecordsIncompleteReplica(t *testing.T) {
	withEngines(t, 2, fakes.EngineOptions{}, func(t *testing.T, is *is.I, b *fixture) {
		b.engines[1].Kill()
		time.Sleep(time.Second)
		_, err := b.run(t.Context(), request("q1"))
		is.Equal(kindOfEngineError(err), engine.Broken)
		violations := b.engines[0].Violations()
		is.Equal(len(violations), 1)
		is.Equal(violations[0].Breach, fakes.Incomplete)
		is.Equal(b.engines[0].Runs("q1"), 0)
	})
}

// Three loads of 4 GB at 2 GB/s finish after 6 s, since they share the rate.
func TestLoaderSerializesLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := fakes.NewLoader(2)
		start := time.Now()
		done := make(chan error, 3)
		for range 3 {
			go func() { done <- l.Load(t.Context(), 4) }()
		}
		for range 3 {
			is.NoErr(<-done)
		}
		is.Equal(time.Since(start), 6*time.Second)
	})
}

// The engine frees the slot of a completed or cancelled request before the
// caller can notice the end. Otherwise, a caller that sends the next request at
// once would overload a cold engine.
func TestEngineFreesSlotBeforeCallerKnows(t *testing.T) {
	options := fakes.EngineOptions{ColdLimit: 1, LimitStep: 1000, Token: time.Microsecond}
	withEngines(t, 1, options, func(t *testing.T, is *is.I, b *fixture) {
		for i := range 50 {
			_, err := b.run(t.Context(), request(fmt.Sprint("whole ", i)))
			is.NoErr(err)
			r := request(fmt.Sprint("cancelled ", i))
			stream, err := b.client.Open(t.Context(), firstMember, r)
			is.NoErr(err)
			is.NoErr(b.client.Cancel(t.Context(), firstMember, r.ID))
			is.NoErr(stream.Close())
		}
		is.Equal(len(b.engines[0].Violations()), 0)
	})
}

// A straggler takes a multiple of the token time and answers probes late.
func TestEngineStraggles(t *testing.T) {
	options := fakes.EngineOptions{Token: 100 * time.Millisecond}
	withEngines(t, 1, options, func(t *testing.T, is *is.I, b *fixture) {
		b.engines[0].SetSlowness(3)
		start := time.Now()
		_, err := b.run(t.Context(), request("q1"))
		is.NoErr(err)
		is.Equal(time.Since(start), 900*time.Millisecond)
		start = time.Now()
		_, err = b.client.Probe(t.Context(), firstMember)
		is.NoErr(err)
		is.Equal(time.Since(start), 10*time.Millisecond)
	})
}
