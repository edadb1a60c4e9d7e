package entry

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/view"
)

// FuzzCompletion checks that the body for the endpoint agrees with what the
// daemon read, and that the limit on tokens holds.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m"}`, `{"model":"m","stream":true,"max_tokens":5}`, `{"model":1}`, `[]`, `null`, ``, `{`,
		`{"model":"a","model":"b"}`, `{"MODEL":"x","model":"m"}`, `{"model":"m","stream":null}`,
		`{"model":"m","max_tokens":-1}`, `{"model":"m","max_tokens":1e3}`, `{"model":"m"}x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, out, err := parseCompletion(body, conf.Limits{Tokens: 100})
		if err != nil {
			return
		}
		var fields map[string]any
		if json.Unmarshal(out, &fields) != nil || fields["model"] != p.model || fields["stream"] != true {
			t.Fatalf("%q became %q", body, out)
		}
		if p.maxTokens < 1 || p.maxTokens > 100 {
			t.Fatalf("%q may take %d tokens", body, p.maxTokens)
		}
	})
}

// FuzzTarget checks that no accepted path contains a dot segment, an empty
// segment or an escaped separator.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"a/b", "a", "a/", "", "/", "a//b", "a/../b", "a/%2e%2e/b", "a/%2F", "a/%5c", "a/%00", "%61/b", "a/b;c", "a/%", "a/b%25"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, rest string) {
		target, err := parseTarget(pathServices + rest)
		if err != nil {
			return
		}
		plain, err := url.PathUnescape(target.path)
		if err != nil || target.service == "" || strings.Contains(target.service, "/") {
			t.Fatalf("%q became %+v", rest, target)
		}
		for segment := range strings.SplitSeq(strings.TrimSuffix(plain[1:], "/"), "/") {
			if segment == "." || segment == ".." || segment == "" && plain != "/" {
				t.Fatalf("%q became %+v", rest, target)
			}
		}
	})
}

// FuzzHeaders checks the bounds on the values that headers set.
func FuzzHeaders(f *testing.F) {
	f.Add("id", "no", "2026-12-03T00:00:00Z", "2s", "1")
	f.Add("", "", "", "-2s", "x")
	f.Add("a b", "yes", "x", "1h\x00", "99999999999999999999")
	f.Fuzz(func(t *testing.T, id, repeatable, at, deadline, number string) {
		h := http.Header{}
		h.Set(headerRequest, id)
		h.Set(headerRepeatable, repeatable)
		h.Set(headerTime, at)
		h.Set(headerDeadline, deadline)
		h.Set(headerAttempt, number)
		h.Set(headerPriority, number)
		v, err := view.New(nil)
		if err != nil {
			t.Fatal(err)
		}
		j := &job{view: v, accepted: time.Now()}
		e := &Entry{}
		if e.readHeaders(j, &http.Request{Header: h}) != nil {
			return
		}
		if j.id == "" || !printable(j.id) || j.attempt < 1 || j.priority > 0 {
			t.Fatalf("%+v", j)
		}
		if j.deadline.After(j.accepted.Add(time.Duration(v.Document.Limits.Request))) {
			t.Fatal("the deadline is beyond the limit")
		}
	})
}

// FuzzSequence takes each byte as the distance of an offset from the next
// chunk.
func FuzzSequence(f *testing.F) {
	f.Add([]byte{0, 0, 0})
	f.Add([]byte{1, 0, 255, 2, 0, 0})
	f.Add([]byte{200, 0, 90, 1, 0, 1, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var s sequence
		next := 0
		emit := func(c engine.Chunk) error {
			if c.Offset != next {
				t.Fatalf("chunk %d came for %d", c.Offset, next)
			}
			next++
			return nil
		}
		for _, step := range steps {
			_ = s.add(engine.Chunk{Offset: next + int(int8(step)), Last: step == 7}, emit)
			if len(s.pending) > maxPending {
				t.Fatal("holds too many")
			}
		}
	})
}

// TestAssembler checks that events are merged as clients of the format expect.
func TestAssembler(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		want   string
	}{
		{
			"texts of two choices",
			[]string{`{"id":"i","object":"text_completion","choices":[{"index":1,"text":"c","finish_reason":null}]}`, `{"choices":[{"index":0,"text":"a"}]}`, `{"choices":[{"index":0,"text":"b","finish_reason":"stop"}]}`},
			`{"choices":[{"finish_reason":"stop","index":0,"text":"ab"},{"finish_reason":null,"index":1,"text":"c"}],"id":"i","object":"text_completion"}`,
		},
		{
			"chat with a call of a tool",
			[]string{
				`{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{"}}]}}]}`,
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"tool_calls"}]}`,
				`{"choices":[],"usage":{"total_tokens":3}}`,
			},
			`{"choices":[{"finish_reason":"tool_calls","index":0,"message":{"role":"assistant","tool_calls":[{"function":{"arguments":"{}","name":"f"},"id":"t","index":0}]}}],"object":"chat.completion","usage":{"total_tokens":3}}`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := assembler{budget: bound.NewBudget(maxAnswersBytes)}
			for _, event := range test.events {
				is.NoErr(a.addEvent([]byte(event)))
			}
			body, err := a.body()
			is.NoErr(err)
			is.Equal(string(body), test.want)
		})
	}
}

func TestEveryCodeHasAMeaning(t *testing.T) {
	is := is.New(t)
	for code := BadPath; code <= Replayed; code++ {
		is.True(meanings[code].status != 0) // an entry in the table
		is.True(!strings.Contains(code.String(), "("))
	}
	is.Equal(len(meanings), int(Replayed)+1)
}
