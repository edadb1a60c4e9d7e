package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/fakes"
)

// result is how one attempt ended.
type result int

const (
	served  result = iota
	refused        // with a word on whether it ran
	cut            // without a word, after the connection stood
	missed         // no connection
	wrong          // an answer that is not the request's own, or not whole
)

// attempt is what came of sending a request once.
type attempt struct {
	result result
	code   string        // of a refusal
	ran    string        // "no", "unknown" or "yes"
	retry  time.Duration // when to come back
	first  time.Duration // to the first token
	gaps   []time.Duration
}

// reason is a refusal as it stands in an answer.
type reason struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// sender sends requests.
type sender struct {
	command clientCommand
	do      func(*http.Request) (*http.Response, error)
	entries *entries
}

// try sends a request for the nth time.
func (s *sender) try(ctx context.Context, r request, n int) attempt {
	ctx, cancel := context.WithTimeout(ctx, s.command.Timeout)
	defer cancel()
	address, err := s.entries.next(ctx)
	if err != nil {
		return attempt{result: missed, ran: "no", code: "no entry"}
	}
	outgoing, err := s.request(ctx, "http://"+address+r.path(), r, n)
	if err != nil {
		return attempt{result: wrong, code: err.Error()}
	}
	start := time.Now()
	response, err := s.do(outgoing)
	if err != nil {
		return unanswered(err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode != http.StatusOK:
		return refusal(response)
	case r.stream && response.Header.Get("Content-Type") == "text/event-stream":
		return readStream(response.Body, r, start)
	default:
		return readWhole(response.Body, r)
	}
}

func (s *sender) request(ctx context.Context, link string, r request, n int) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, link, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	outgoing.GetBody = nil // the transport sends nothing twice
	outgoing.Header.Set("Authorization", "Bearer "+s.command.Key)
	outgoing.Header.Set("Content-Type", "application/json")
	outgoing.Header.Set("X-Request-Id", r.id)
	outgoing.Header.Set("X-Attempt", strconv.Itoa(n))
	if r.once {
		outgoing.Header.Set(fakes.HeaderOnce, r.id)
	}
	return outgoing, nil
}

func refusal(response *http.Response) attempt {
	var text reason
	if err := json.NewDecoder(response.Body).Decode(&text); err != nil {
		return attempt{result: cut, ran: "unknown", code: response.Status}
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return attempt{
		result: refused,
		code:   text.Error.Code,
		ran:    text.Error.Ran,
		retry:  time.Duration(seconds) * time.Second,
	}
}
