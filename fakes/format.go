package fakes

import (
	"encoding/json"
	"time"
)

// The answers' formats, as OpenAI's interface has them.
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

func (j *job) head(object string) completion {
	name, kind := "cmpl-", "text_completion"
	if j.chat {
		name, kind = "chatcmpl-", "chat.completion"+object
	}
	return completion{ID: name + j.id, Object: kind, Created: time.Now().Unix(), Model: j.model, Choices: []choice{}}
}

// event returns the data of the event of one token.
func (j *job) event(i int) []byte {
	text := token(j.prompt, i)
	c := choice{Finish: j.finish(i)}
	if j.chat {
		c.Delta = &message{Content: text}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	event := j.head(".chunk")
	event.Choices = append(event.Choices, c)
	return encode(event)
}

// finish returns the reason for the end at the last token, and nil before.
func (j *job) finish(i int) *string {
	if i < j.tokens-1 {
		return nil
	}
	reason := "stop"
	return &reason
}

// tail returns the events after the last token.
func (j *job) tail() [][]byte {
	end := []byte(doneData)
	if !j.usage {
		return [][]byte{end}
	}
	event := j.head(".chunk")
	event.Usage = j.used()
	return [][]byte{encode(event), end}
}

func (j *job) used() *usage {
	prompt := len(j.prompt) / 4
	return &usage{Prompt: prompt, Completion: j.tokens, Total: prompt + j.tokens}
}

// whole returns the answer to a request that asked for no stream.
func (j *job) whole() completion {
	text := Answer(j.prompt, j.tokens)
	c := choice{Finish: j.finish(j.tokens)}
	if j.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	answer := j.head("")
	answer.Choices = append(answer.Choices, c)
	answer.Usage = j.used()
	return answer
}

func encode(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}
