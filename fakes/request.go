package fakes

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/engine"
)

// defaultTokens is the number of tokens in an answer whose request sets no
// max_tokens.
const defaultTokens = 16

// CrashUser is the value of a request's field "user" that crashes the engine
// running the request.
const CrashUser = "crash"

// request holds the fields of a completion request that the engine uses.
type request struct {
	prompt       string
	model        string
	tokens       int
	stream       bool
	includeUsage bool // send an event with the token usage at the end of the stream
	user         string
	chat         bool
}

// parseRequest parses the body of a completion or of a chat completion.
func parseRequest(body []byte, chat bool) (request, error) {
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
		return request{}, err
	}
	if chat && fields.Messages == nil {
		return request{}, errors.New("messages are missing")
	}
	prompt, err := engine.Prompt(body)
	return request{
		prompt:       prompt,
		model:        fields.Model,
		tokens:       or(fields.Tokens, defaultTokens),
		stream:       fields.Stream,
		includeUsage: fields.Options.Usage,
		user:         fields.User,
		chat:         chat,
	}, err
}

// Answer returns the text with which an engine answers a prompt, where the
// prompt is the result of engine.Prompt for the request's body. Each token is
// eight hexadecimal digits and a space: the hash of the prompt and of the
// token's index. A caller can therefore verify that it received the whole answer
// to its own request.
func Answer(prompt string, tokens int) string {
	text := make([]byte, 0, 9*tokens)
	for i := range tokens {
		text = append(text, token(prompt, i)...)
	}
	return string(text)
}

// token returns the token with index i of the answer to a prompt.
func token(prompt string, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(fmt.Sprintf("%d %s", i, prompt))))
}
