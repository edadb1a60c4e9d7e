package main

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
)

// Messages that are no answers (issue 54) are none to the stand-ins either: a load that takes
// one for an answer doesn't show that callers get it.
func TestUnsoundAnswersOfDaemons(t *testing.T) {
	for name, read := range map[string]fakes.Reader{
		"directory": func(_ context.Context, address string) error { _, err := callerCommand{}.resolve(address); return err },
		"process": func(ctx context.Context, address string) error {
			return newProcessClient("http://"+address).call(ctx, http.MethodGet, "/", nil, nil)
		},
		"entries": func(ctx context.Context, address string) error {
			_, _, err := (&entries{do: reply.Default.Do}).fetch(ctx, address)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wrong, err := fakes.Misread(t.Context(), read, "", `{"addresses":["a:1"],"entries":[{"address":"a:1"}],"hold":"1s"}`, fakes.BadMessages())
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}
