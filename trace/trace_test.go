package trace

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Compares the traces of three requests from logs of a simulated day, and of one after a
// drill of the store, with golden
// files: one was refused because all endpoints were full, one had its stream
// continued at another endpoint, one had its stream cut short, and one had its key accepted.
func TestTraceGolden(t *testing.T) {
	for _, c := range []struct{ name, id string }{
		{"full", "8c72832002bf887b"},
		{"moved", "5fce85e9c48aea6e"},
		{"cut", "41a565d3fbb9c0a9"},
		{"keyed", "key-kept-75-0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open("testdata/" + c.name + ".log")
			is.NoErr(err)
			defer func() { _ = file.Close() }()
			logs := New(c.id)
			is.NoErr(logs.Read(file))
			trace, err := logs.Trace()
			is.NoErr(err)
			var got bytes.Buffer
			is.NoErr(trace.Write(&got))
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

// Lines that are not log lines are skipped and counted, the prefix of a log
// collector is ignored, and an unknown request and an overlong line are errors.
func TestInvalidLines(t *testing.T) {
	is := is.New(t)
	logs := New("a")
	is.NoErr(logs.Read(strings.NewReader("junk\n{\n{\"msg\":1}\n\n" +
		`pod-7 | {"time":"2026-03-17T19:43:12Z","msg":"request left","daemon":"d","id":"a","took_ms":5,"ran":0,"odd":{"x":[1,"y"]}}` + "\n")))
	trace, err := logs.Trace()
	is.NoErr(err)
	is.Equal(trace.Skipped, 4)
	is.Equal(trace.End.Get("odd"), `{"x":[1,"y"]}`)
	_, err = New("b").Trace()
	var missing *Error
	is.True(errors.As(err, &missing))
	is.Equal(missing.Kind, Missing)
	is.True(New("c").Read(strings.NewReader(strings.Repeat("x", maxLine+1))) != nil)
}
