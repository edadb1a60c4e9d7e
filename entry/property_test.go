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

// scrambled passes on what a handler writes and doubles, holds back or loses
// events on the way.
func scrambled(next http.Handler, seed uint64) http.Handler {
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	draw := func() int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(20)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&scrambler{ResponseWriter: w, draw: draw}, r)
	})
}

type scrambler struct {
	http.ResponseWriter
	draw func() int
	held []byte
}

// Unwrap lets http.ResponseController flush.
func (s *scrambler) Unwrap() http.ResponseWriter { return s.ResponseWriter }

func (s *scrambler) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("id: ")) || bytes.Contains(p, []byte("[DONE]")) {
		p = append(s.held, p...)
		s.held = nil
		return s.ResponseWriter.Write(p)
	}
	switch s.draw() {
	case 0: // lost
		return len(p), nil
	case 1, 2: // doubled
		return s.ResponseWriter.Write(append(bytes.Clone(p), p...))
	case 3, 4, 5: // behind the next ones
		s.held = append(s.held, p...)
		return len(p), nil
	default:
		p = append(bytes.Clone(p), s.held...)
		s.held = nil
		return s.ResponseWriter.Write(p)
	}
}

func TestScrambledStreams(t *testing.T) {
	for seed := range uint64(20) {
		options := fakes.EngineOptions{Token: 10 * time.Millisecond, Keep: time.Minute}
		within(t, 1, document(), options, func(w *world) {
			for i, host := range []string{"e0", "e1"} {
				w.network.Kill(host)
				w.network.Serve(host+":80", scrambled(w.engines[i], seed))
			}
			for i := range 10 {
				prompt := fmt.Sprint(i)
				got := w.send(ask{prompt: prompt, tokens: 100, stream: i%2 == 0})
				if fault := judge(w, got, prompt, 100); fault != "" || !got.whole {
					w.t.Fatalf("seed %d, request %d: %s %+v", seed, i, fault, got.reason)
				}
			}
		})
	}
}

// judge returns what is untrue in a reply, or nothing.
func judge(w *world, got reply, prompt string, tokens int) string {
	whole := fakes.Answer(prompt, tokens)
	switch {
	case got.err != nil:
		return "no reply: " + got.err.Error()
	case got.whole && got.text != whole:
		return fmt.Sprintf("not the answer to its own request: %q", got.text)
	case !strings.HasPrefix(whole, got.text):
		return fmt.Sprintf("not a part of the answer: %q", got.text)
	case !got.whole && got.reason.Code == "":
		return "neither an end nor a reason"
	case got.reason.Ran == "no" && w.runs(prompt) > 0:
		return "told as not run, but it ran"
	default:
		return ""
	}
}

// schedule is what callers do and which faults come, and when.
type schedule struct {
	callers []caller
	faults  []fault
	gate    bool // a real one
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

func (m fault) strike(w *world) {
	e, host := w.engines[m.engine], fmt.Sprintf("e%d", m.engine)
	switch m.kind {
	case 0:
		e.Kill()
		time.Sleep(2 * time.Second)
		e.Restart()
		w.order(m.engine)
	case 1:
		e.Restart()
		w.order(m.engine)
	case 2:
		e.Pause()
		time.Sleep(4 * time.Second)
		e.Resume()
	case 3:
		w.network.Silence(fakes.Every, host)
	case 4:
		w.network.Reset(fakes.Every, host)
	case 5:
		w.network.Cut("d0", host)
		time.Sleep(3 * time.Second)
		w.network.Heal("d0", host)
	case 6:
		w.store.LoseAnswers(3)
	case 7:
		w.store.Down(true)
		time.Sleep(time.Second)
		w.store.Down(false)
	case 8:
		w.network.Reset("d1", "kv")
	}
}

// play carries a schedule out and returns what went wrong.
func (s schedule) play(w *world) string {
	if s.gate {
		defer w.useGate()()
	}
	var group sync.WaitGroup
	for _, m := range s.faults {
		group.Go(func() {
			time.Sleep(m.at)
			m.strike(w)
		})
	}
	wrong := make([]string, len(s.callers))
	for i, c := range s.callers {
		group.Go(func() {
			time.Sleep(c.at)
			wrong[i] = c.call(w, i)
		})
	}
	group.Wait()
	time.Sleep(time.Minute)
	if n := w.inUse(); n > 0 {
		wrong = append(wrong, fmt.Sprint(n, " permits were not given back"))
	}
	return strings.Join(wrong, "")
}

// inUse returns the number of permits that are in use.
func (w *world) inUse() int {
	n := w.gates.Holding()
	if w.real != nil {
		for _, status := range w.real.Status() {
			n += status.Load
		}
	}
	return n
}

// call sends a request, and sends a not-repeatable one again through other
// daemons, as a caller does that got no answer.
func (c caller) call(w *world, number int) string {
	prompt := fmt.Sprint("prompt ", number)
	a := ask{to: c.to, host: fmt.Sprint("c", number), prompt: prompt, tokens: c.tokens, stream: c.stream}
	if !c.once {
		return judge(w, w.send(a), prompt, c.tokens)
	}
	for attempt := range 3 {
		a.headers = map[string]string{"Idempotency-Key": fmt.Sprint("key-", number), "X-Attempt": fmt.Sprint(attempt + 1)}
		got := w.send(a)
		if fault := judge(w, got, prompt, c.tokens); fault != "" {
			return fault
		}
		if w.runs(prompt) > 1 {
			return prompt + " ran more than once"
		}
		a.to = (a.to + 1) % 3
		time.Sleep(2 * time.Second)
	}
	return ""
}

// TestEveryCallerGetsItsAnswer draws requests through three daemons and faults
// of engines, network and store. Each caller gets the whole answer to its own
// request or a true word, and what is not repeatable runs at most once.
func TestEveryCallerGetsItsAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		var wrong string
		synctest.Test(t, func(t *testing.T) {
			options := fakes.EngineOptions{First: 300 * time.Millisecond, Token: 50 * time.Millisecond, Keep: 10 * time.Second}
			w := newWorld(t, 3, document(), options)
			defer w.close()
			wrong = s.play(w)
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
