package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"clementinehead.example/chead/conf"
)

// completion holds the parameters of a completion that the daemon itself uses.
type completion struct {
	model     string
	stream    bool
	maxTokens int      // the most tokens that the answer may have
	prefix    []uint64 // hashes of the prompt's prefix blocks

	servedModel, adapter, version string // of the replica of the last dispatch; servedModel is the path of a plain service
}

// modelName returns the model for the usage report.
func (p completion) modelName() string {
	if p.servedModel != "" {
		return p.servedModel
	}
	return p.model
}

var (
	errObject = errors.New("not one JSON object")
	errModel  = errors.New("model: not a name")
	errStream = errors.New("stream: neither true nor false")
	errTokens = errors.New("max_tokens: not a whole number above 0")
)

// parseCompletion reads a completion's body and returns the body for the
// endpoint. The endpoint's body always asks for a stream, and also for the
// usage where the caller wants one JSON value, which contains it. The body is
// encoded anew from the decoded fields, so that the endpoint can't read a field
// that is given twice in another way than the daemon did.
func parseCompletion(body []byte, limits conf.Limits) (completion, []byte, *Error) {
	fields, err := decodeObject(body)
	if err != nil {
		return completion{}, nil, reject("admit", BadJSON, err)
	}
	p := completion{maxTokens: limits.Tokens}
	if err := p.readFields(fields, limits); err != nil {
		return completion{}, nil, reject("admit", BadRequest, err)
	}
	fields["stream"] = json.RawMessage("true")
	if !p.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return completion{}, nil, reject("admit", BadJSON, err)
	}
	return p, out, nil
}

// decodeObject decodes a body that must be exactly one JSON object.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
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

// readFields reads and checks the fields that the daemon uses.
func (p *completion) readFields(fields map[string]json.RawMessage, limits conf.Limits) error {
	if err := json.Unmarshal(fields["model"], &p.model); err != nil || p.model == "" {
		return errModel
	}
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &p.stream); err != nil {
			return errStream
		}
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := p.limitTokens(fields[name], limits.Tokens); err != nil {
			return err
		}
	}
	return nil
}

// limitTokens lowers maxTokens to the value of a field, where it is given.
func (p *completion) limitTokens(raw json.RawMessage, limit int) error {
	if raw == nil || string(raw) == "null" {
		return nil
	}
	var tokens int
	if err := json.Unmarshal(raw, &tokens); err != nil || tokens < 1 {
		return errTokens
	}
	if tokens > limit {
		return fmt.Errorf("max_tokens: above the limit of %d", limit)
	}
	p.maxTokens = min(p.maxTokens, tokens)
	return nil
}
