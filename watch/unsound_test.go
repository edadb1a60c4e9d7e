package watch

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/press"
	"clementinehead.example/chead/reply"
)

// Messages that are no answers (issue 54) are no changes of a relay and no goal of the daemon
// that reads the index. That one is told by a head alone.
func TestUnsoundAnswersOfDaemons(t *testing.T) {
	const fields = headerEra + ": 0\r\n" + headerRevision + ": 1\r\n" + headerAge + ": 0\r\n" + headerHeld + ": 0\r\n" + headerOutage + ": 0\r\n"
	client := &http.Client{Transport: reply.NewTransport(&http.Transport{})}
	w := newWatcher(t, "", nil, func() bool { return false })
	w.options.Do = client.Do
	for _, c := range []struct {
		name string
		read fakes.Reader
		bad  []fakes.Message
	}{
		{"relay", func(ctx context.Context, address string) error { _, err := w.askRelay(ctx, address); return err }, fakes.BadMessages()},
		{"index", func(ctx context.Context, address string) error { _, err := w.fetchIndex(ctx, address); return err }, fakes.BadHeads()},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			wrong, err := fakes.Misread(t.Context(), c.read, fields, string(press.Pack([]byte("[]"))), c.bad)
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}
