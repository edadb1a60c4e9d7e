package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockSize is the length of a prefix block, in bytes of prompt text.
const BlockSize = 256

// Blocks returns the hashes of the prefixes of a prompt that end at a block
// boundary, shortest first. Endpoints use the same hashes in cache events.
func Blocks(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for len(prompt) >= BlockSize {
		_, _ = digest.WriteString(prompt[:BlockSize])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[BlockSize:]
	}
	return hashes
}

// message is one message of a chat.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, or the JSON encoding of its parts.
type content string

// UnmarshalJSON decodes a JSON string to its text and keeps any other value as
// JSON text.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		text = string(data)
	}
	*c = content(text)
	return nil
}

// Prompt returns the text of a request body that the prefix cache is keyed by:
// the prompt of a completion, or the roles and contents of a chat.
func Prompt(body []byte) (string, error) {
	var fields struct {
		Prompt   string    `json:"prompt"`
		Messages []message `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", err
	}
	if fields.Messages == nil {
		return fields.Prompt, nil
	}
	var text strings.Builder
	for _, m := range fields.Messages {
		text.WriteString(m.Role + "\n" + string(m.Content) + "\n")
	}
	return text.String(), nil
}
