package entry_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"clementinehead.example/chead/fakes"
)

// scrambled returns a handler that duplicates, delays or drops events which
// next writes.
func scrambled(next http.Handler, seed uint64) http.Handler {
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	draw := func() int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(20)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&scrambledWriter{ResponseWriter: w, draw: draw}, r)
	})
}

// scrambledWriter is the ResponseWriter of scrambled.
type scrambledWriter struct {
	http.ResponseWriter
	draw    func() int
	delayed []byte
}

// Unwrap lets http.ResponseController flush.
func (s *scrambledWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

func (s *scrambledWriter) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("id: ")) || bytes.Contains(p, []byte("[DONE]")) {
		p = append(s.delayed, p...)
		s.delayed = nil
		return s.ResponseWriter.Write(p)
	}
	switch s.draw() {
	case 0: // dropped
		return len(p), nil
	case 1, 2: // duplicated
		return s.ResponseWriter.Write(append(bytes.Clone(p), p...))
	case 3, 4, 5: // delayed until after the next ones
		s.delayed = append(s.delayed, p...)
		return len(p), nil
	default:
		p = append(bytes.Clone(p), s.delayed...)
		s.delayed = nil
		return s.ResponseWriter.Write(p)
	}
}

// TestScrambledStreams checks that answers are complete although events are
// duplicated, delayed and dropped.
func TestScrambledStreams(t *testing.T) {
	for seed := range uint64(20) {
		options := fakes.EngineOptions{Token: 10 * time.Millisecond, AbandonAfter: time.Minute}
		withCluster(t, 1, document(), options, func(cl *cluster) {
			for i, host := range []string{"e0", "e1"} {
				cl.network.Kill(host)
				cl.network.Serve(host+":80", scrambled(cl.engines[i], seed))
			}
			for i := range 10 {
				prompt := fmt.Sprint(i)
				got := cl.send(request{prompt: prompt, tokens: 100, stream: i%2 == 0})
				if fault := replyFault(cl, got, prompt, 100); fault != "" || !got.complete {
					cl.t.Fatalf("seed %d, request %d: %s %+v", seed, i, fault, got.reason)
				}
			}
		})
	}
}

// replyFault returns what is wrong with a reply, empty for nothing.
func replyFault(cl *cluster, got reply, prompt string, tokens int) string {
	answer := fakes.Answer(prompt, tokens)
	switch {
	case got.err != nil:
		return "no reply: " + got.err.Error()
	case got.complete && got.text != answer:
		return fmt.Sprintf("not the answer to its own request: %q", got.text)
	case !strings.HasPrefix(answer, got.text):
		return fmt.Sprintf("not a part of the answer: %q", got.text)
	case !got.complete && got.reason.Code == "":
		return "neither an end nor a reason"
	case got.reason.Ran == "no" && cl.runs(prompt) > 0:
		return "reported as not run, but it ran"
	default:
		return ""
	}
}

// schedule is a set of requests and faults, each with its time.
type schedule struct {
	callers []caller
	faults  []fault
	gate    bool // use a real gate
}

type caller struct {
	at     time.Duration
	to     int
	tokens int
	stream bool
	once   bool
}

type fault struct {
	at     time.Duration
	engine int
	kind   int
}

func drawSchedule(rt *rapid.T) schedule {
	tenths := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 100).Draw(t, "tenths")) * 100 * time.Millisecond
	})
	callers := rapid.Custom(func(t *rapid.T) caller {
		return caller{
			at:     tenths.Draw(t, "at"),
			to:     rapid.IntRange(0, 2).Draw(t, "to"),
			tokens: rapid.IntRange(1, 60).Draw(t, "tokens"),
			stream: rapid.Bool().Draw(t, "stream"),
			once:   rapid.Bool().Draw(t, "once"),
		}
	})
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:     tenths.Draw(t, "at"),
			engine: rapid.IntRange(0, 1).Draw(t, "engine"),
			kind:   rapid.IntRange(0, 8).Draw(t, "kind"),
		}
	})
	return schedule{
		callers: rapid.SliceOfN(callers, 5, 20).Draw(rt, "callers"),
		faults:  rapid.SliceOfN(faults, 1, 8).Draw(rt, "faults"),
		gate:    rapid.Bool().Draw(rt, "gate"),
	}
}

func (f fault) inject(cl *cluster) {
	e, host := cl.engines[f.engine], fmt.Sprintf("e%d", f.engine)
	switch f.kind {
	case 0:
		e.Kill()
		time.Sleep(2 * time.Second)
		e.Restart()
		cl.order(f.engine)
	case 1:
		e.Restart()
		cl.order(f.engine)
	case 2:
		e.Pause()
		time.Sleep(4 * time.Second)
		e.Resume()
	case 3:
		cl.network.Silence(fakes.AnyHost, host)
	case 4:
		cl.network.Reset(fakes.AnyHost, host)
	case 5:
		cl.network.Cut("d0", host)
		time.Sleep(3 * time.Second)
		cl.network.Heal("d0", host)
	case 6:
		cl.store.LoseAnswers(3)
	case 7:
		cl.store.Down(true)
		time.Sleep(time.Second)
		cl.store.Down(false)
	case 8:
		cl.network.Reset("d1", "kv")
	}
}

// run sends the requests, injects the faults and returns what went wrong.
func (s schedule) run(cl *cluster) string {
	if s.gate {
		defer cl.useGate()()
	}
	var group sync.WaitGroup
	for _, f := range s.faults {
		group.Go(func() {
			time.Sleep(f.at)
			f.inject(cl)
		})
	}
	violations := make([]string, len(s.callers))
	for i, c := range s.callers {
		group.Go(func() {
			time.Sleep(c.at)
			violations[i] = c.call(cl, i)
		})
	}
	group.Wait()
	time.Sleep(time.Minute)
	if n := cl.permitsInUse(); n > 0 {
		violations = append(violations, fmt.Sprint(n, " permits were not released"))
	}
	return strings.Join(violations, "")
}

// permitsInUse returns the number of permits that are not released.
func (cl *cluster) permitsInUse() int {
	n := cl.gates.InUse()
	if cl.realGate != nil {
		for _, status := range cl.realGate.Status() {
			n += status.Load
		}
	}
	return n
}

// call sends a request. One that isn't repeatable it sends again through other
// daemons, as a caller does that got no answer.
func (c caller) call(cl *cluster, number int) string {
	prompt := fmt.Sprint("prompt ", number)
	r := request{to: c.to, host: fmt.Sprint("c", number), prompt: prompt, tokens: c.tokens, stream: c.stream}
	if !c.once {
		return replyFault(cl, cl.send(r), prompt, c.tokens)
	}
	for attempt := range 3 {
		r.headers = map[string]string{"Idempotency-Key": fmt.Sprint("key-", number), "X-Attempt": fmt.Sprint(attempt + 1)}
		got := cl.send(r)
		if fault := replyFault(cl, got, prompt, c.tokens); fault != "" {
			return fault
		}
		if cl.runs(prompt) > 1 {
			return prompt + " ran more than once"
		}
		r.to = (r.to + 1) % 3
		time.Sleep(2 * time.Second)
	}
	return ""
}

// TestEveryCallerGetsItsAnswer draws requests through three daemons and faults
// of engines, network and store. Each caller must get the complete answer to
// its own request or a true report, and a request that isn't repeatable runs at
// most once.
func TestEveryCallerGetsItsAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		var violations string
		synctest.Test(t, func(t *testing.T) {
			options := fakes.EngineOptions{First: 300 * time.Millisecond, Token: 50 * time.Millisecond, AbandonAfter: 10 * time.Second}
			cl := newCluster(t, 3, document(), options)
			defer cl.close()
			violations = s.run(cl)
		})
		if violations != "" {
			rt.Fatal(violations)
		}
	})
}
