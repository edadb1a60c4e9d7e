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

// result is the result of one attempt.
type result int

const (
	served      result = iota
	refused            // the answer says whether the request ran
	cut                // no such answer, after the connection was established
	unconnected        // no connection, or no address to connect to
	wrongAnswer        // an answer to another request, or an incomplete one
)

// attempt describes the outcome of sending a request once.
type attempt struct {
	result result
	code   string          // error code of the answer, or a text if there is none
	ran    string          // whether the request ran: "no", "unknown" or "yes"
	retry  time.Duration   // wait before the next attempt that the answer asks for
	first  time.Duration   // time to the first token
	gaps   []time.Duration // times between tokens
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// sender sends the requests of a load.
type sender struct {
	command clientCommand
	do      func(*http.Request) (*http.Response, error)
	entries *entries
}

// try makes the nth attempt of a request, counted from 1.
func (s *sender) try(ctx context.Context, r request, n int) attempt {
	ctx, cancel := context.WithTimeout(ctx, s.command.Timeout)
	defer cancel()
	address, err := s.entries.next(ctx)
	if err != nil {
		return attempt{result: unconnected, ran: "no", code: "no entry"}
	}
	outgoing, err := s.request(ctx, "http://"+address+r.path(), r, n)
	if err != nil {
		return attempt{result: wrongAnswer, code: err.Error()}
	}
	start := time.Now()
	response, err := s.do(outgoing)
	if err != nil {
		return transportFailure(err)
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

// request returns the HTTP request of the nth attempt.
func (s *sender) request(ctx context.Context, link string, r request, n int) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, link, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	outgoing.GetBody = nil // prevents the transport from repeating the request
	outgoing.Header.Set("Authorization", "Bearer "+s.command.Key)
	outgoing.Header.Set("Content-Type", "application/json")
	outgoing.Header.Set("X-Request-Id", r.id)
	outgoing.Header.Set("X-Attempt", strconv.Itoa(n))
	if r.once {
		outgoing.Header.Set(fakes.HeaderIdempotencyKey, r.id)
	}
	return outgoing, nil
}

// refusal reads an answer with a status other than 200.
func refusal(response *http.Response) attempt {
	var body refusalBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return attempt{result: cut, ran: "unknown", code: response.Status}
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return attempt{
		result: refused,
		code:   body.Error.Code,
		ran:    body.Error.Ran,
		retry:  time.Duration(seconds) * time.Second,
	}
}
