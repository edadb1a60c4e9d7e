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

// TestFaults brings a fault about after a while of a run that takes 40 tokens,
// one each 100 ms, the first at 500 ms.
func TestFaults(t *testing.T) {
	const early, late = 200 * time.Millisecond, 2 * time.Second
	kill := func(w *world) { w.engines[0].Kill() }
	crash := func(w *world) { w.network.Kill("e0"); w.engines[0].Kill() }
	restart := func(w *world) { w.engines[0].Restart(); w.order(0) }
	pause := func(w *world) { w.engines[0].Pause() }
	blink := func(w *world) {
		w.engines[0].Pause()
		time.AfterFunc(3*time.Second, w.engines[0].Resume)
	}
	silent := func(w *world) { w.network.Silence("d0", "e0") }
	reset := func(w *world) { w.network.Reset("d0", "e0") }
	cut := func(w *world) { w.network.Cut("d0", "e0") }
	heal := func(w *world) {
		w.network.Cut("d0", "e0")
		time.AfterFunc(1500*time.Millisecond, func() { w.network.Heal("d0", "e0") })
	}
	tests := []struct {
		name   string
		after  time.Duration
		fault  func(*world)
		stream string // outcome of a streamed one: "whole" or a code
		plain  string // of one that isn't
		once   string // of a not-repeatable stream
	}{
		{"none", early, func(*world) {}, "whole", "whole", "whole"},
		{"killed early", early, kill, "whole", "whole", "crashed"},
		{"killed late", late, kill, "crashed", "whole", "crashed"},
		{"process gone early", early, crash, "whole", "whole", "crashed"},
		{"process gone late", late, crash, "crashed", "whole", "crashed"},
		{"restarted early", early, restart, "whole", "whole", "crashed"},
		{"restarted late", late, restart, "crashed", "whole", "crashed"},
		{"paused early", early, pause, "whole", "whole", "broken"},
		{"paused late", late, pause, "broken", "whole", "broken"},
		{"paused for a while", late, blink, "whole", "whole", "whole"},
		{"silent early", early, silent, "whole", "whole", "whole"},
		{"silent late", late, silent, "whole", "whole", "whole"},
		{"reset early", early, reset, "whole", "whole", "whole"},
		{"reset late", late, reset, "whole", "whole", "whole"},
		{"cut off early", early, cut, "whole", "whole", "broken"},
		{"cut off late", late, cut, "broken", "whole", "broken"},
		{"cut off for a while", late, heal, "whole", "whole", "whole"},
		{"all gone early", early, killEngines, "unavailable", "unavailable", "crashed"},
		{"all gone late", late, killEngines, "crashed", "unavailable", "crashed"},
	}
	for _, test := range tests {
		outcomes := []struct {
			name string
			ask  ask
			want string
		}{
			{"stream", ask{stream: true}, test.stream},
			{"plain", ask{}, test.plain},
			{"once", ask{stream: true, headers: map[string]string{"X-Repeatable": "no"}}, test.once},
		}
		for _, o := range outcomes {
			t.Run(test.name+" "+o.name, func(t *testing.T) {
				options := fakes.EngineOptions{First: 500 * time.Millisecond, Token: 100 * time.Millisecond, Reboot: time.Hour, Keep: time.Minute}
				within(t, 1, document(), options, func(w *world) {
					is := is.New(w.t)
					o.ask.prompt, o.ask.tokens = "p", 40
					time.AfterFunc(test.after, func() { test.fault(w) })
					got := w.send(o.ask)
					is.NoErr(got.err)
					w.checkWhole(is, got, "p", 40, o.want)
					if o.name == "once" {
						is.True(w.runs("p") <= 1)
					}
					time.Sleep(time.Minute)
					is.Equal(w.gates.Holding(), 0) // every permit was given back
				})
			})
		}
	}
}

// checkWhole checks a reply against what the engines answer to a prompt: it is
// whole, or it is a part and says truthfully what ran.
func (w *world) checkWhole(is *is.I, got reply, prompt string, tokens int, want string) {
	is.Helper()
	whole := fakes.Answer(prompt, tokens)
	if want == "whole" {
		is.Equal(got.reason.Code, "")
		is.True(got.whole)
		is.Equal(got.text, whole)
		return
	}
	is.Equal(got.reason.Code, want)
	is.True(!got.whole)
	is.True(len(got.text) < len(whole))
	is.Equal(got.text, whole[:len(got.text)])
	if got.reason.Ran == "no" {
		is.Equal(w.runs(prompt), 0)
	}
	if got.text != "" {
		is.Equal(got.reason.Ran, "yes")
	}
}

func TestCancelReachesTheEngine(t *testing.T) {
	options := fakes.EngineOptions{Token: time.Second, Keep: time.Hour}
	within(t, 1, document(), options, func(w *world) {
		is := is.New(w.t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		w.sendUnder(ctx, ask{prompt: "p", tokens: 100, stream: true})
		time.Sleep(time.Second)
		report, err := engine.New(w.network.Client("ops").Do).Probe(context.Background(), "e0:80")
		is.NoErr(err)
		is.Equal(report.Running, 0)
		is.Equal(w.gates.Count(wire.Ending_ENDING_CANCELLED), 1)
	})
}

func TestCrasherIsRefusedAfterTwo(t *testing.T) {
	within(t, 2, document(), fakes.EngineOptions{Reboot: time.Second}, func(w *world) {
		is := is.New(w.t)
		crasher := ask{body: `{"model":"m","prompt":"p","user":"crash"}`}
		got := w.send(crasher)
		is.True(got.status >= 500)
		is.True(got.reason.Ran != "no")
		for range 4 {
			time.Sleep(10 * time.Second)
			w.order(0)
			w.order(1)
			crasher.to = 1 - crasher.to
			got = w.send(crasher)
		}
		is.Equal(got.reason.Code, "suspect")
		is.True(w.runs("p") <= 2)
		alone := 0
		for _, asked := range w.gates.Asked {
			if asked.GetAlone() {
				alone++
			}
		}
		is.True(alone > 0)
	})
}

func TestSlowCallerIsCutOff(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{Token: time.Millisecond, Keep: time.Second}, func(w *world) {
		is := is.New(w.t)
		r, err := ask{prompt: "p", tokens: 8000, stream: true}.request(context.Background())
		is.NoErr(err)
		response, err := w.network.Client("slow").Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		time.Sleep(time.Minute) // reads nothing
		synctest.Wait()
		is.Equal(w.gates.Holding(), 0)
		is.Equal(w.gates.Count(wire.Ending_ENDING_CANCELLED), 1)
	})
}

// TestStalePermit has a gate answer so late that the permit is no longer valid.
func TestStalePermit(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		w.gates.Delay = 1500 * time.Millisecond
		is.Equal(w.send(ask{prompt: "p"}).reason.Ran, "no")
		time.Sleep(time.Minute)
		is.Equal(w.runs("p"), 0)
		is.Equal(w.gates.Holding(), 0)
	})
}

// TestSameRequestID has two accounts use one request id at one endpoint. Both
// streams are resumed, and neither gets the other's answer.
func TestSameRequestID(t *testing.T) {
	options := fakes.EngineOptions{Token: 100 * time.Millisecond, Keep: time.Minute}
	within(t, 2, document(), options, func(w *world) {
		is := is.New(w.t)
		time.AfterFunc(time.Second, func() { w.network.Silence(fakes.Every, "e0") })
		var group sync.WaitGroup
		for i, key := range []string{desk, yard} {
			group.Go(func() {
				prompt := fmt.Sprint("of account ", i)
				got := w.send(ask{
					to: i, host: fmt.Sprint("c", i), key: key, prompt: prompt, tokens: 30,
					headers: map[string]string{"X-Request-Id": "same"},
				})
				is.True(got.whole)
				is.Equal(got.text, fakes.Answer(prompt, 30))
			})
		}
		group.Wait()
	})
}

// TestPriorityIsBounded checks that an account can't ask for more than its due.
func TestPriorityIsBounded(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		for _, key := range []string{desk, yard} {
			w.send(ask{prompt: "p", key: key, headers: map[string]string{"X-Priority": "9"}})
		}
		is.Equal(w.gates.Asked[0].GetPriority(), int32(3))
		is.Equal(w.gates.Asked[1].GetPriority(), int32(0))
	})
}

// TestWaitsWhereItIsShortest has all replicas busy, and the second one for a
// shorter time.
func TestWaitsWhereItIsShortest(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		backs := map[string]time.Duration{"r0": 1500 * time.Millisecond, "r1": time.Second}
		w.gates.Verdict = func(r *wire.AcquireRequest) *wire.AcquireResponse {
			if r.GetWait().AsDuration() > 0 {
				return nil
			}
			return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_BUSY, RetryAfter: durationpb.New(backs[r.GetReplica()])}
		}
		is.True(w.send(ask{prompt: "p"}).whole)
		is.Equal(w.engines[1].PromptRuns("p"), 1)
		backs["r0"], backs["r1"] = 5*time.Second, 4*time.Second
		is.Equal(w.send(ask{prompt: "q"}).header.Get("Retry-After"), "4") // too late to wait for
	})
}

// TestDeadEndpointIsEjected has one endpoint die while its gate goes on giving
// permits. Requests behind the first one don't spend their retries on it.
func TestDeadEndpointIsEjected(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{Token: time.Millisecond}, func(w *world) {
		is := is.New(w.t)
		w.network.Kill("e0")
		for i := range 100 {
			is.True(w.send(ask{prompt: fmt.Sprint(i)}).whole)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(w.gates.Count(wire.Ending_ENDING_UNUSED) <= 6) // one a second
	})
}

// TestInterimGate has the daemon of the gate fail, before a request and while
// one runs.
func TestInterimGate(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{Token: 100 * time.Millisecond}, func(w *world) {
		is := is.New(w.t)
		time.AfterFunc(time.Second, func() { w.gone.Store(true) })
		is.True(w.send(ask{prompt: "a", tokens: 30}).whole)
		is.True(w.send(ask{prompt: "b", tokens: 30}).whole)
		time.Sleep(time.Minute)
		is.Equal(w.gates.Holding(), 0)
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		killEngines(w)
		for i := range 50 {
			got := w.send(ask{prompt: fmt.Sprint(i)})
			is.Equal(got.reason.Ran, "no")
		}
		is.True(len(w.gates.Asked) >= 50)
		is.True(len(w.gates.Asked) <= 50+10+50/10) // saved up, and a tenth
	})
}
