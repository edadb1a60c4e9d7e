package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
)

// prefixes is the number of prompt prefixes that requests share. prefixBlocks is the
// length of a prefix in blocks of the prefix cache.
const (
	prefixes     = 8
	prefixBlocks = 4
)

// request is one request of the load.
type request struct {
	id      string
	service string // plain service, empty for a completion
	chat    bool
	stream  bool
	once    bool // not repeatable: must run at most once
	tokens  int
	prompt  string // as engine.Prompt returns it
	body    []byte
}

// plan returns the ith request of the load.
func (c clientCommand) plan(i int, random *rand.Rand) request {
	r := request{id: fmt.Sprintf("load-%d-%d", c.Seed, i), tokens: c.Tokens}
	if c.Service != "" && random.Float64() < c.Calls {
		r.service = c.Service
		r.once = true
		r.body, _ = json.Marshal(map[string]string{"order": r.id})
		return r
	}
	r.chat = random.IntN(2) == 0
	r.stream = random.Float64() < c.Streamed
	r.once = random.Float64() < c.Once
	r.body = r.completion(c.Model[random.IntN(len(c.Model))], random.IntN(prefixes))
	r.prompt, _ = engine.Prompt(r.body)
	return r
}

// completion returns the body of a completion request. Its prompt consists of one of
// the shared prefixes and the request id.
func (r request) completion(model string, prefix int) []byte {
	text := strings.Repeat(fmt.Sprintf("prefix %d ", prefix), prefixBlocks*engine.BlockSize/len("prefix 0 ")) + r.id
	fields := map[string]any{"model": model, "max_tokens": r.tokens, "stream": r.stream}
	if r.chat {
		fields["messages"] = []map[string]string{{"role": "user", "content": text}}
	} else {
		fields["prompt"] = text
	}
	body, _ := json.Marshal(fields)
	return body
}

// path returns the path that the request is sent to.
func (r request) path() string {
	switch {
	case r.service != "":
		return "/services/" + r.service + "/orders"
	case r.chat:
		return "/v1/chat/completions"
	default:
		return "/v1/completions"
	}
}

// key returns the key under which runs of the request are counted.
func (r request) key() string {
	if r.service != "" {
		return r.id
	}
	return fakes.PromptKey(r.prompt)
}

// matches reports whether a text is the complete answer to this request.
func (r request) matches(text string) bool {
	if r.service != "" {
		return text == string(r.body)
	}
	return text == fakes.Answer(r.prompt, r.tokens)
}
