package fakes

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/engine"
)

// defaultTokens is the length of an answer whose request names none.
const defaultTokens = 16

// Crasher is the value of a request's field "user" that crashes the engine
// that runs the request.
const Crasher = "crash"

// ask is what a request's body asks for.
type ask struct {
	prompt string
	model  string
	tokens int
	stream bool
	usage  bool // an event with the usage is wanted at the stream's end
	user   string
	chat   bool
}

// readAsk reads the body of a completion or a chat completion.
func readAsk(body []byte, chat bool) (ask, error) {
	var fields struct {
		Model    string          `json:"model"`
		Prompt   string          `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
		Tokens   int             `json:"max_tokens"`
		Stream   bool            `json:"stream"`
		User     string          `json:"user"`
		Options  struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return ask{}, err
	}
	if chat && fields.Messages == nil {
		return ask{}, errors.New("messages are missing")
	}
	prompt, err := engine.Prompt(body)
	return ask{
		prompt: prompt,
		model:  fields.Model,
		tokens: or(fields.Tokens, defaultTokens),
		stream: fields.Stream,
		usage:  fields.Options.Usage,
		user:   fields.User,
		chat:   chat,
	}, err
}

// Answer returns the text that answers a prompt with a number of tokens. A
// prompt is what engine.Prompt makes of a body. Each token is eight
// hexadecimal digits and a space: the hash of the prompt and of the token's
// place, so that a caller can tell a whole answer of its own from any other.
func Answer(prompt string, tokens int) string {
	text := make([]byte, 0, 9*tokens)
	for i := range tokens {
		text = append(text, token(prompt, i)...)
	}
	return string(text)
}

func token(prompt string, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(fmt.Sprintf("%d %s", i, prompt))))
}
