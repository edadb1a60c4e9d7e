package story

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write golden files anew")

// Logs of a played day: a request refused since all endpoints were full, one
// whose stream went on at another endpoint, and one cut in its stream.
func TestStories(t *testing.T) {
	for _, c := range []struct{ name, id string }{
		{"full", "8c72832002bf887b"},
		{"moved", "5fce85e9c48aea6e"},
		{"cut", "41a565d3fbb9c0a9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open("testdata/" + c.name + ".log")
			is.NoErr(err)
			defer func() { _ = file.Close() }()
			logs := New(c.id)
			is.NoErr(logs.Read(file))
			told, err := logs.Story()
			is.NoErr(err)
			var got bytes.Buffer
			is.NoErr(told.Write(&got))
			golden := "testdata/" + c.name + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, got.Bytes(), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got.String(), string(want))
		})
	}
}

// What is no log line is counted and passed over, also in the middle of a
// collector's own text; a request that nobody knows is an error.
func TestOddInput(t *testing.T) {
	is := is.New(t)
	logs := New("a")
	is.NoErr(logs.Read(strings.NewReader("junk\n{\n{\"msg\":1}\n\n" +
		`pod-7 | {"time":"2026-03-17T19:43:12Z","msg":"request left","daemon":"d","id":"a","took_ms":5,"ran":0,"odd":{"x":[1,"y"]}}` + "\n")))
	told, err := logs.Story()
	is.NoErr(err)
	is.Equal(told.Other, 4)
	is.Equal(told.End.Get("odd"), `{"x":[1,"y"]}`)
	_, err = New("b").Story()
	var missing *Error
	is.True(errors.As(err, &missing))
	is.Equal(missing.Kind, Missing)
	is.True(New("c").Read(strings.NewReader(strings.Repeat("x", longest+1))) != nil)
}
