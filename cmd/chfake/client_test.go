package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
)

// fakeSystem is a handler that simulates the whole system. It counts a run for each
// request and answers it, with one fault.
type fakeSystem struct {
	counter *fakes.RunCounter
	fault   string
	calls   int
}

func (s *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		_, _ = io.WriteString(w, `{"entries":[{"address":"s:80"}],"hold":"10s"}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	prompt, _ := engine.Prompt(body)
	s.calls++
	if s.fault == "busy at first" && s.calls == 1 {
		s.refuse(w, "no")
		return
	}
	s.counter.Add(fakes.PromptKey(prompt))
	var request struct {
		Tokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &request)
	text := fakes.Answer(prompt, request.Tokens)
	switch s.fault {
	case "doubled":
		s.counter.Add(fakes.PromptKey(prompt))
	case "untrue":
		s.refuse(w, "no")
		return
	case "cut":
		panic(http.ErrAbortHandler)
	case "short":
		text = text[:9]
	case "another's":
		text = fakes.Answer("x", request.Tokens)
	}
	s.answer(w, text)
}

func (s *fakeSystem) refuse(w http.ResponseWriter, ran string) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"error":{"code":"busy","ran":%q}}`, ran)
}

func (s *fakeSystem) answer(w http.ResponseWriter, text string) {
	if s.fault == "error in the stream" {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: {}\n\nevent: error\ndata: {\"error\":{\"code\":\"crashed\",\"ran\":\"yes\"}}\n\n")
		return
	}
	fmt.Fprintf(w, `{"choices":[{"text":%q}]}`, text)
}

// The client reports each kind of fault of the system under its own count.
func TestClientDetectsFaults(t *testing.T) {
	tests := []struct {
		fault string
		want  string // the counts that are not 0
	}{
		{"", "served 1"},
		{"busy at first", "served 1, resent 1"},
		{"doubled", "served 1, doubled 1"},
		{"untrue", "resent 1, refused 1, doubled 1, untrue 1"},
		{"cut", "resent 1, lost 1, doubled 1"},
		{"short", "lost 1"},
		{"another's", "lost 1"},
		{"error in the stream", "unsettled 1"},
	}
	for _, test := range tests {
		t.Run(test.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakes.NewNetwork()
				defer n.Close()
				counter := fakes.NewRunCounter()
				n.Serve("s:80", &fakeSystem{counter: counter, fault: test.fault})
				mux := http.NewServeMux()
				mux.Handle(pathRuns, counter)
				mux.Handle("/", fakes.NewStore())
				n.Serve("store:80", mux)
				do := n.Client("client").Do
				c := clientCommand{Model: []string{"m"}, Tokens: 4, Once: 1, Tries: 2, Timeout: time.Second, Requests: 1, Rate: 1, Workers: 1}
				if test.fault == "error in the stream" {
					c.Streamed = 1
				}
				s := &sender{command: c, do: do, entries: &entries{seeds: []string{"s:80"}, do: do}}
				sum := newSummary()
				is.NoErr(c.load(t.Context(), s, sum))
				is.NoErr(sum.verify(t.Context(), processClient{base: "http://store:80", do: do}))
				is.Equal(nonzeroCounts(sum), test.want)
			})
		})
	}
}

// nonzeroCounts returns the counts of a summary that are not 0, as text.
func nonzeroCounts(s *summary) string {
	text := ""
	for _, c := range []struct {
		name  string
		count int
	}{
		{"served", total(s.served)},
		{"resent", total(s.resent)},
		{"refused", total(s.refused)},
		{"unsettled", total(s.unsettled)},
		{"lost", total(s.lost)},
		{"doubled", len(s.duplicated)},
		{"untrue", len(s.falseRefusals)},
	} {
		if c.count == 0 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", c.name, c.count)
	}
	return text
}
