package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"clementinehead.example/chead/fakes"
)

// maxLine is the maximum length of a line of a stream, in bytes.
const maxLine = 1 << 20

// transportFailure returns the outcome of an attempt without an answer. Without a
// connection the request has not run; if the connection broke, it may have run.
func transportFailure(err error) attempt {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt{result: unconnected, ran: "no", code: "no connection"}
	}
	return attempt{result: cut, ran: "unknown", code: "no answer"}
}

// event holds the fields of a completion that the client reads, from a complete
// answer or from an event of a stream.
type event struct {
	Choices []struct {
		Text    string   `json:"text"`
		Delta   *content `json:"delta"`
		Message *content `json:"message"`
	} `json:"choices"`
}

// content is a chat message or a part of one.
type content struct {
	Content string `json:"content"`
}

// text returns the text of the first choice.
func (e event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	choice := e.Choices[0]
	switch {
	case choice.Delta != nil:
		return choice.Delta.Content
	case choice.Message != nil:
		return choice.Message.Content
	default:
		return choice.Text
	}
}

// readWhole reads an answer that is a single JSON value.
func readWhole(body io.Reader, r request) attempt {
	data, err := io.ReadAll(body)
	if err != nil {
		return attempt{result: cut, ran: "unknown", code: "cut off"}
	}
	if r.matches(wholeText(data, r)) {
		return attempt{result: served}
	}
	return attempt{result: wrongAnswer, code: "wrong answer"}
}

// wholeText returns the text of an answer that is a single JSON value.
func wholeText(data []byte, r request) string {
	if r.service != "" {
		var echo fakes.Echo
		_ = json.Unmarshal(data, &echo)
		return echo.Body
	}
	var whole event
	_ = json.Unmarshal(data, &whole)
	return whole.text()
}

// streamState is the part of a stream that has been read.
type streamState struct {
	text       strings.Builder
	last       time.Time // time of the last token, or of the start
	attempt    attempt
	errorEvent bool // the next data field holds a refusal
}

// readStream reads server-sent events up to the end of the stream.
func readStream(body io.Reader, r request, start time.Time) attempt {
	s := &streamState{last: start}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			s.errorEvent = value == "error"
		case name == "data" && s.errorEvent:
			return s.refusal(value)
		case name == "data" && value == "[DONE]":
			return s.end(r)
		case name == "data":
			s.addToken(value)
		}
	}
	return attempt{result: cut, ran: "unknown", code: "cut off"}
}

// addToken adds the text of an event and the time since the last one.
func (s *streamState) addToken(data string) {
	var part event
	_ = json.Unmarshal([]byte(data), &part)
	s.text.WriteString(part.text())
	now := time.Now()
	if s.attempt.first == 0 {
		s.attempt.first = now.Sub(s.last)
	} else {
		s.attempt.gaps = append(s.attempt.gaps, now.Sub(s.last))
	}
	s.last = now
}

// refusal returns the outcome of a stream that ended with an error event.
func (s *streamState) refusal(data string) attempt {
	var body refusalBody
	_ = json.Unmarshal([]byte(data), &body)
	return attempt{result: refused, code: body.Error.Code + " in the stream", ran: body.Error.Ran}
}

// end returns the outcome of a stream that was read to its end.
func (s *streamState) end(r request) attempt {
	if !r.matches(s.text.String()) {
		return attempt{result: wrongAnswer, code: "wrong answer"}
	}
	s.attempt.result = served
	return s.attempt
}
