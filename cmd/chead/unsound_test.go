package main

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

// Messages that are no answers (issue 54) are none of a daemon's to the commands: an edit
// that wasn't made would be reported as made.
func TestUnsoundAnswersOfDaemons(t *testing.T) {
	for name, read := range map[string]fakes.Reader{
		"operator": func(_ context.Context, address string) error {
			var out map[string]any
			return operator{Operator: "http://" + address}.get("/admin/v1/status", nil, &out)
		},
		"where": func(_ context.Context, address string) error {
			_, err := whereCommand{Daemon: address, Service: "s"}.ask()
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wrong, err := fakes.Misread(t.Context(), read, "", "{}", fakes.BadMessages())
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}
