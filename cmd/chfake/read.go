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

// maxLine bounds one line of a stream, in bytes.
const maxLine = 1 << 20

// unanswered tells a connection that never stood from one that broke.
func unanswered(err error) attempt {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt{result: missed, ran: "no", code: "no connection"}
	}
	return attempt{result: cut, ran: "unknown", code: "no answer"}
}

// event is what the client reads of a completion, whole or in parts.
type event struct {
	Choices []struct {
		Text    string   `json:"text"`
		Delta   *content `json:"delta"`
		Message *content `json:"message"`
	} `json:"choices"`
}

type content struct {
	Content string `json:"content"`
}

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

// readWhole reads an answer that is one JSON value.
func readWhole(body io.Reader, r request) attempt {
	data, err := io.ReadAll(body)
	if err != nil {
		return attempt{result: cut, ran: "unknown", code: "cut off"}
	}
	if r.right(wholeText(data, r)) {
		return attempt{result: served}
	}
	return attempt{result: wrong, code: "wrong answer"}
}

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

// stream is what has come of a stream.
type stream struct {
	text    strings.Builder
	last    time.Time
	attempt attempt
	failed  bool // the next data is a refusal
}

// readStream reads server-sent events to their end.
func readStream(body io.Reader, r request, start time.Time) attempt {
	s := &stream{last: start}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			s.failed = value == "error"
		case name == "data" && s.failed:
			return s.interrupted(value)
		case name == "data" && value == "[DONE]":
			return s.end(r)
		case name == "data":
			s.token(value)
		}
	}
	return attempt{result: cut, ran: "unknown", code: "cut off"}
}

func (s *stream) token(data string) {
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

func (s *stream) interrupted(data string) attempt {
	var text reason
	_ = json.Unmarshal([]byte(data), &text)
	return attempt{result: refused, code: text.Error.Code + " in the stream", ran: text.Error.Ran}
}

func (s *stream) end(r request) attempt {
	if !r.right(s.text.String()) {
		return attempt{result: wrong, code: "wrong answer"}
	}
	s.attempt.result = served
	return s.attempt
}
