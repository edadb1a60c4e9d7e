package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"clementinehead.example/chead/conf"
)

// prompt is what the daemon itself reads of a completion's body.
type prompt struct {
	model  string
	stream bool
	tokens int // the most that the answer may have
	prefix []uint64

	served, adapter, version string // of the replica that it was last dispatched to
}

// name returns the model for the report.
func (p prompt) name() string {
	if p.served != "" {
		return p.served
	}
	return p.model
}

var (
	errObject = errors.New("not one JSON object")
	errModel  = errors.New("model: not a name")
	errStream = errors.New("stream: neither true nor false")
	errTokens = errors.New("max_tokens: not a whole number above 0")
)

// parsePrompt reads a completion's body and returns the body for the endpoint.
// That one always asks for a stream, and for the usage where the caller gets
// one value, which has it. It is written anew from what was read, so
// that the endpoint can't read a name that stands twice in another way than
// the daemon did.
func parsePrompt(body []byte, limits conf.Limits) (prompt, []byte, *Error) {
	fields, err := object(body)
	if err != nil {
		return prompt{}, nil, reject("admit", BadJSON, err)
	}
	p := prompt{tokens: limits.Tokens}
	if err := p.read(fields, limits); err != nil {
		return prompt{}, nil, reject("admit", BadRequest, err)
	}
	fields["stream"] = json.RawMessage("true")
	if !p.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return prompt{}, nil, reject("admit", BadJSON, err)
	}
	return p, out, nil
}

// object reads one JSON object and nothing behind it.
func object(body []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&fields); err != nil {
		return nil, errObject
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) || fields == nil {
		return nil, errObject
	}
	return fields, nil
}

func (p *prompt) read(fields map[string]json.RawMessage, limits conf.Limits) error {
	if err := json.Unmarshal(fields["model"], &p.model); err != nil || p.model == "" {
		return errModel
	}
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &p.stream); err != nil {
			return errStream
		}
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := p.bound(fields[name], limits.Tokens); err != nil {
			return err
		}
	}
	return nil
}

func (p *prompt) bound(raw json.RawMessage, most int) error {
	if raw == nil || string(raw) == "null" {
		return nil
	}
	var tokens int
	if err := json.Unmarshal(raw, &tokens); err != nil || tokens < 1 {
		return errTokens
	}
	if tokens > most {
		return fmt.Errorf("max_tokens: above the limit of %d", most)
	}
	p.tokens = min(p.tokens, tokens)
	return nil
}
