package entry_test

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

func TestAnswers(t *testing.T) {
	tests := []struct {
		name string
		ask  ask
	}{
		{"completion", ask{prompt: "iron gate", tokens: 5}},
		{"completion streamed", ask{prompt: "iron gate", tokens: 5, stream: true}},
		{"chat", ask{path: "/v1/chat/completions", body: `{"model":"forge","messages":[{"role":"user","content":"hinge"}],"max_tokens":5}`}},
		{"chat streamed", ask{path: "/v1/chat/completions", body: `{"model":"m","messages":[{"role":"user","content":"hinge"}],"max_tokens":5,"stream":true}`}},
		{"not repeatable", ask{prompt: "deposit", tokens: 5, headers: map[string]string{"X-Repeatable": "no"}}},
		{"not repeatable, streamed", ask{prompt: "deposit", tokens: 5, stream: true, headers: map[string]string{"Idempotency-Key": "k"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
				is := is.New(w.t)
				got := w.send(test.ask)
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.True(got.whole)
				prompt := test.ask.prompt
				if prompt == "" {
					prompt = "user\nhinge\n"
				}
				is.Equal(got.text, fakes.Answer(prompt, 5))
				is.Equal(w.runs(prompt), 1)
			})
		})
	}
}
