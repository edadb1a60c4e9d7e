package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/wire"
)

// TestFaults injects a fault during a run of 40 tokens, one each 100 ms, the
// first at 500 ms. The caller must get the complete answer where a retry or
// resumption is allowed, and otherwise a true report of whether the request has
// run.
func TestFaults(t *testing.T) {
	const early, late = 200 * time.Millisecond, 2 * time.Second
	kill := func(cl *cluster) { cl.engines[0].Kill() }
	crash := func(cl *cluster) { cl.network.Kill("e0"); cl.engines[0].Kill() }
	restart := func(cl *cluster) { cl.engines[0].Restart(); cl.order(0) }
	pause := func(cl *cluster) { cl.engines[0].Pause() }
	pauseBriefly := func(cl *cluster) {
		cl.engines[0].Pause()
		time.AfterFunc(3*time.Second, cl.engines[0].Resume)
	}
	silent := func(cl *cluster) { cl.network.Silence("d0", "e0") }
	reset := func(cl *cluster) { cl.network.Reset("d0", "e0") }
	cut := func(cl *cluster) { cl.network.Cut("d0", "e0") }
	cutBriefly := func(cl *cluster) {
		cl.network.Cut("d0", "e0")
		time.AfterFunc(1500*time.Millisecond, func() { cl.network.Heal("d0", "e0") })
	}
	tests := []struct {
		name   string
		after  time.Duration
		fault  func(*cluster)
		stream string // outcome of a stream: "complete" or a code
		plain  string // of an answer that isn't streamed
		once   string // of a stream that isn't repeatable
	}{
		{"none", early, func(*cluster) {}, "complete", "complete", "complete"},
		{"killed early", early, kill, "complete", "complete", "crashed"},
		{"killed late", late, kill, "crashed", "complete", "crashed"},
		{"process gone early", early, crash, "complete", "complete", "crashed"},
		{"process gone late", late, crash, "crashed", "complete", "crashed"},
		{"restarted early", early, restart, "complete", "complete", "crashed"},
		{"restarted late", late, restart, "crashed", "complete", "crashed"},
		{"paused early", early, pause, "complete", "complete", "broken"},
		{"paused late", late, pause, "broken", "complete", "broken"},
		{"paused for a while", late, pauseBriefly, "complete", "complete", "complete"},
		{"silent early", early, silent, "complete", "complete", "complete"},
		{"silent late", late, silent, "complete", "complete", "complete"},
		{"reset early", early, reset, "complete", "complete", "complete"},
		{"reset late", late, reset, "complete", "complete", "complete"},
		{"cut off early", early, cut, "complete", "complete", "broken"},
		{"cut off late", late, cut, "broken", "complete", "broken"},
		{"cut off for a while", late, cutBriefly, "complete", "complete", "complete"},
		{"all gone early", early, killEngines, "unavailable", "unavailable", "crashed"},
		{"all gone late", late, killEngines, "crashed", "unavailable", "crashed"},
	}
	for _, test := range tests {
		outcomes := []struct {
			name    string
			request request
			want    string
		}{
			{"stream", request{stream: true}, test.stream},
			{"plain", request{}, test.plain},
			{"once", request{stream: true, headers: map[string]string{"X-Repeatable": "no"}}, test.once},
		}
		for _, o := range outcomes {
			t.Run(test.name+" "+o.name, func(t *testing.T) {
				options := fakes.EngineOptions{First: 500 * time.Millisecond, Token: 100 * time.Millisecond, Reboot: time.Hour, AbandonAfter: time.Minute}
				withCluster(t, 1, document(), options, func(cl *cluster) {
					is := is.New(cl.t)
					o.request.prompt, o.request.tokens = "p", 40
					time.AfterFunc(test.after, func() { test.fault(cl) })
					got := cl.send(o.request)
					is.NoErr(got.err)
					cl.checkOutcome(is, got, "p", 40, o.want)
					if o.name == "once" {
						is.True(cl.runs("p") <= 1)
					}
					time.Sleep(time.Minute)
					is.Equal(cl.gates.InUse(), 0) // every permit was released
				})
			})
		}
	}
}

// checkOutcome checks a reply against the engines' answer to a prompt: it is
// complete, or it is a prefix and reports truthfully whether the request has
// run.
func (cl *cluster) checkOutcome(is *is.I, got reply, prompt string, tokens int, want string) {
	is.Helper()
	answer := fakes.Answer(prompt, tokens)
	if want == "complete" {
		is.Equal(got.reason.Code, "")
		is.True(got.complete)
		is.Equal(got.text, answer)
		return
	}
	is.Equal(got.reason.Code, want)
	is.True(!got.complete)
	is.True(len(got.text) < len(answer))
	is.Equal(got.text, answer[:len(got.text)])
	if got.reason.Ran == "no" {
		is.Equal(cl.runs(prompt), 0)
	}
	if got.text != "" {
		is.Equal(got.reason.Ran, "yes")
	}
}

// TestCancelReachesTheEngine checks that a run is cancelled at the engine after
// its caller has disconnected.
func TestCancelReachesTheEngine(t *testing.T) {
	options := fakes.EngineOptions{Token: time.Second, AbandonAfter: time.Hour}
	withCluster(t, 1, document(), options, func(cl *cluster) {
		is := is.New(cl.t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		cl.sendContext(ctx, request{prompt: "p", tokens: 100, stream: true})
		time.Sleep(time.Second)
		report, err := engine.New(cl.network.Client("ops").Do).Probe(context.Background(), "e0:80")
		is.NoErr(err)
		is.Equal(report.Running, 0)
		is.Equal(cl.gates.Count(wire.Ending_ENDING_CANCELLED), 1)
	})
}

// TestCrasherIsRefusedAfterTwoCrashes sends a request again that crashes each
// engine on which it runs. It must be refused after two crashes, and its second
// run must be in a batch of its own.
func TestCrasherIsRefusedAfterTwoCrashes(t *testing.T) {
	withCluster(t, 2, document(), fakes.EngineOptions{Reboot: time.Second}, func(cl *cluster) {
		is := is.New(cl.t)
		crasher := request{body: `{"model":"m","prompt":"p","user":"crash"}`}
		got := cl.send(crasher)
		is.True(got.status >= 500)
		is.True(got.reason.Ran != "no")
		for range 4 {
			time.Sleep(10 * time.Second)
			cl.order(0)
			cl.order(1)
			crasher.to = 1 - crasher.to
			got = cl.send(crasher)
		}
		is.Equal(got.reason.Code, "suspect")
		is.True(cl.runs("p") <= 2)
		alone := 0
		for _, asked := range cl.gates.Requests {
			if asked.GetAlone() {
				alone++
			}
		}
		is.True(alone > 0)
	})
}

// TestSlowCallerIsCutOff checks that a caller that stops reading its stream is
// disconnected, which cancels the run and releases its permit.
func TestSlowCallerIsCutOff(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{Token: time.Millisecond, AbandonAfter: time.Second}, func(cl *cluster) {
		is := is.New(cl.t)
		r, err := request{prompt: "p", tokens: 8000, stream: true}.httpRequest(context.Background())
		is.NoErr(err)
		response, err := cl.network.Client("slow").Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		time.Sleep(time.Minute) // without reading
		synctest.Wait()
		is.Equal(cl.gates.InUse(), 0)
		is.Equal(cl.gates.Count(wire.Ending_ENDING_CANCELLED), 1)
	})
}

// TestStalePermit has a gate respond so late that the permit has expired.
func TestStalePermit(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		cl.gates.Delay = 1500 * time.Millisecond
		is.Equal(cl.send(request{prompt: "p"}).reason.Ran, "no")
		time.Sleep(time.Minute)
		is.Equal(cl.runs("p"), 0)
		is.Equal(cl.gates.InUse(), 0)
	})
}

// TestSameRequestID has two accounts use one request id at one endpoint. Both
// streams are resumed, and neither caller gets the other's answer.
func TestSameRequestID(t *testing.T) {
	options := fakes.EngineOptions{Token: 100 * time.Millisecond, AbandonAfter: time.Minute}
	withCluster(t, 2, document(), options, func(cl *cluster) {
		is := is.New(cl.t)
		time.AfterFunc(time.Second, func() { cl.network.Silence(fakes.AnyHost, "e0") })
		var group sync.WaitGroup
		for i, key := range []string{deskKey, yardKey} {
			group.Go(func() {
				prompt := fmt.Sprint("of account ", i)
				got := cl.send(request{
					to: i, host: fmt.Sprint("c", i), key: key, prompt: prompt, tokens: 30,
					headers: map[string]string{"X-Request-Id": "same"},
				})
				is.True(got.complete)
				is.Equal(got.text, fakes.Answer(prompt, 30))
			})
		}
		group.Wait()
	})
}

// TestPriorityIsBounded checks that an account can't get a higher priority than
// its settings allow.
func TestPriorityIsBounded(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		for _, key := range []string{deskKey, yardKey} {
			cl.send(request{prompt: "p", key: key, headers: map[string]string{"X-Priority": "9"}})
		}
		is.Equal(cl.gates.Requests[0].GetPriority(), int32(3))
		is.Equal(cl.gates.Requests[1].GetPriority(), int32(0))
	})
}

// TestWaitsAtSoonestGate has all replicas busy, the second one for a shorter
// time.
func TestWaitsAtSoonestGate(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		retryAfters := map[string]time.Duration{"r0": 1500 * time.Millisecond, "r1": time.Second}
		cl.gates.Verdict = func(r *wire.AcquireRequest) *wire.AcquireResponse {
			if r.GetWait().AsDuration() > 0 {
				return nil
			}
			return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_BUSY, RetryAfter: durationpb.New(retryAfters[r.GetReplica()])}
		}
		is.True(cl.send(request{prompt: "p"}).complete)
		is.Equal(cl.engines[1].PromptRuns("p"), 1)
		retryAfters["r0"], retryAfters["r1"] = 5*time.Second, 4*time.Second
		is.Equal(cl.send(request{prompt: "q"}).header.Get("Retry-After"), "4") // longer than the limit on the wait
	})
}

// TestDeadEndpointIsEjected has one endpoint die while its gate continues to
// grant permits. Later requests must not spend their retries on it.
func TestDeadEndpointIsEjected(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{Token: time.Millisecond}, func(cl *cluster) {
		is := is.New(cl.t)
		cl.network.Kill("e0")
		for i := range 100 {
			is.True(cl.send(request{prompt: fmt.Sprint(i)}).complete)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(cl.gates.Count(wire.Ending_ENDING_UNUSED) <= 6) // one a second
	})
}

// TestInterimGate has the daemon of the gate fail, both before a request and
// during one.
func TestInterimGate(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{Token: 100 * time.Millisecond}, func(cl *cluster) {
		is := is.New(cl.t)
		time.AfterFunc(time.Second, func() { cl.gateDown.Store(true) })
		is.True(cl.send(request{prompt: "a", tokens: 30}).complete)
		is.True(cl.send(request{prompt: "b", tokens: 30}).complete)
		time.Sleep(time.Minute)
		is.Equal(cl.gates.InUse(), 0)
	})
}

// TestBudgetBoundsRetries checks that requests cause few retries while no
// endpoint can be reached.
func TestBudgetBoundsRetries(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		killEngines(cl)
		for i := range 50 {
			got := cl.send(request{prompt: fmt.Sprint(i)})
			is.Equal(got.reason.Ran, "no")
		}
		is.True(len(cl.gates.Requests) >= 50)
		is.True(len(cl.gates.Requests) <= 50+10+50/10) // the initial balance, and a tenth of a retry each
	})
}
