package fakes

import (
	"encoding/json"
	"time"
)

// The formats of answers, as in OpenAI's API.
type (
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index   int      `json:"index"`
		Text    *string  `json:"text,omitempty"`
		Delta   *message `json:"delta,omitempty"`
		Message *message `json:"message,omitempty"`
		Finish  *string  `json:"finish_reason"`
	}
	message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// newCompletion returns an answer or event without choices. The suffix is added
// to the object type of a chat completion.
func (j *job) newCompletion(suffix string) completion {
	prefix, object := "cmpl-", "text_completion"
	if j.chat {
		prefix, object = "chatcmpl-", "chat.completion"+suffix
	}
	return completion{ID: prefix + j.id, Object: object, Created: time.Now().Unix(), Model: j.model, Choices: []choice{}}
}

// tokenEvent returns the data of the event for the token with index i.
func (j *job) tokenEvent(i int) []byte {
	text := token(j.prompt, i)
	c := choice{Finish: j.finishReason(i)}
	if j.chat {
		c.Delta = &message{Content: text}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	event := j.newCompletion(".chunk")
	event.Choices = append(event.Choices, c)
	return encode(event)
}

// finishReason returns the finish reason that is sent with the token with index i:
// "stop" from the last token on, and nil before.
func (j *job) finishReason(i int) *string {
	if i < j.tokens-1 {
		return nil
	}
	reason := "stop"
	return &reason
}

// finalEvents returns the events that follow the last token.
func (j *job) finalEvents() [][]byte {
	end := []byte(doneData)
	if !j.includeUsage {
		return [][]byte{end}
	}
	event := j.newCompletion(".chunk")
	event.Usage = j.tokenUsage()
	return [][]byte{encode(event), end}
}

// tokenUsage returns the token usage of a complete answer. It counts four bytes
// of the prompt as a token.
func (j *job) tokenUsage() *usage {
	prompt := len(j.prompt) / 4
	return &usage{Prompt: prompt, Completion: j.tokens, Total: prompt + j.tokens}
}

// fullAnswer returns the answer to a request without streaming.
func (j *job) fullAnswer() completion {
	text := Answer(j.prompt, j.tokens)
	c := choice{Finish: j.finishReason(j.tokens)}
	if j.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	answer := j.newCompletion("")
	answer.Choices = append(answer.Choices, c)
	answer.Usage = j.tokenUsage()
	return answer
}

func encode(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}
