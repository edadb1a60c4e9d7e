package pick

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

func TestMemoryMatters(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine site.Engine
		want   bool
	}{
		{"room for many times the usual", site.Engine{Slots: 20, Memory: 1_000_000, Prompt: 800, Answer: 200}, false},
		{"little more than the usual", site.Engine{Slots: 20, Memory: 30_000, Prompt: 800, Answer: 200}, true},
		{"memory not stated", site.Engine{Slots: 20, Prompt: 800, Answer: 200}, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(memoryMatters(&c.engine), c.want) })
	}
}

// Hints of callers are often too small; what is reserved beyond them doesn't exceed the most
// that may be written.
func TestTokensOf(t *testing.T) {
	is := is.New(t)
	is.Equal(tokensOf(Request{PromptTokens: 100, AnswerTokens: 20, MaxAnswer: 200}), 140)
	is.Equal(tokensOf(Request{PromptTokens: 100, AnswerTokens: 150, MaxAnswer: 200}), 300)
	is.Equal(tokensOf(Request{PromptTokens: 100}), 100)
}

// newMemoryFixture returns a Placer with one endpoint of four slots whose memory holds two
// requests of the usual size.
func newMemoryFixture() *Placer {
	p := newFixture("a")
	engine := p.options.Snapshot().Config.Services["s"].Engine
	engine.Slots, engine.Memory, engine.Prompt, engine.Answer = 4, 2300, 800, 200
	return p
}

func sized(prompt int) Request {
	return Request{Service: "s", Model: "m", PromptTokens: prompt, AnswerTokens: 100, MaxAnswer: 200, Remaining: time.Second}
}

// Long prompts fill an endpoint's memory before its slots: with those of another daemon it
// would crash. A slot is free, and none is given.
func TestMemoryOfAnEndpointIsSharedByAllDaemons(t *testing.T) {
	is := is.New(t)
	p := newMemoryFixture()
	first, err := p.Acquire(t.Context(), sized(800))
	is.NoErr(err)
	is.Equal(p.Report().Endpoints["a"].Tokens, 1000)
	p.Update([]gossip.Message{{From: site.Daemon{ID: "other"}, Endpoints: map[string]gossip.EndpointLoad{"a": {Running: 1, Tokens: 1000}}}}, nil)
	_, err = p.Acquire(t.Context(), sized(800))
	is.True(err != nil)
	p.Update(nil, nil)
	second, err := p.Acquire(t.Context(), sized(800))
	is.NoErr(err)
	first.Done(false)
	second.Done(false)
	is.Equal(p.Report().Endpoints["a"].Tokens, 0)
}

// A prompt that is larger than the memory of an endpoint is refused at once.
func TestPromptLargerThanMemory(t *testing.T) {
	is := is.New(t)
	_, err := newMemoryFixture().Acquire(t.Context(), sized(2250))
	var refused *Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Kind, TooLarge)
}

// A large request waits for memory. Small ones that fit must go on meanwhile, and the large
// one must get the endpoint once it is alone there, though what is reserved for its answer
// exceeds the memory.
func TestLargeRequestHoldsUpNoSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newMemoryFixture()
		first, err := p.Acquire(t.Context(), sized(800))
		is.NoErr(err)
		served := make(chan *Slot, 1)
		go func() {
			large := sized(2150)
			large.MaxWait = time.Minute
			slot, _ := p.Acquire(t.Context(), large)
			served <- slot
		}()
		synctest.Wait()
		small, err := p.Acquire(t.Context(), sized(10))
		is.NoErr(err)
		small.Done(false)
		is.Equal(len(served), 0)
		first.Done(false)
		slot := <-served
		is.True(slot != nil)
		slot.Done(false)
	})
}
