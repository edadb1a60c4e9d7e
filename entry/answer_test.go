package entry_test

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

// TestAnswers checks complete answers of all kinds of completions.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		request request
	}{
		{"completion", request{prompt: "iron gate", tokens: 5}},
		{"completion streamed", request{prompt: "iron gate", tokens: 5, stream: true}},
		{"chat", request{path: "/v1/chat/completions", body: `{"model":"forge","messages":[{"role":"user","content":"hinge"}],"max_tokens":5}`}},
		{"chat streamed", request{path: "/v1/chat/completions", body: `{"model":"m","messages":[{"role":"user","content":"hinge"}],"max_tokens":5,"stream":true}`}},
		{"not repeatable", request{prompt: "deposit", tokens: 5, headers: map[string]string{"X-Repeatable": "no"}}},
		{"not repeatable, streamed", request{prompt: "deposit", tokens: 5, stream: true, headers: map[string]string{"Idempotency-Key": "k"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
				is := is.New(cl.t)
				got := cl.send(test.request)
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.True(got.complete)
				prompt := test.request.prompt
				if prompt == "" {
					prompt = "user\nhinge\n"
				}
				is.Equal(got.text, fakes.Answer(prompt, 5))
				is.Equal(cl.runs(prompt), 1)
			})
		})
	}
}
