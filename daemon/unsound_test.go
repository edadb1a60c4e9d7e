package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// Messages that are no answers (issue 54) are none to any client of a daemon: not to those
// of the store, of endpoints and of plain services.
func TestUnsoundAnswers(t *testing.T) {
	type call func(ctx context.Context, c clients, address string) error
	const (
		values = `{"key":"k","revision":1,"id":1,"entries":[]}`
		events = "id: 0\ndata: x\n\ndata: [DONE]\n\n"
	)
	inStore := func(use func(context.Context, *store.Client) error) call {
		return func(ctx context.Context, c clients, address string) error {
			return use(ctx, store.New("http://"+address, c.store.Do))
		}
	}
	stream := func(do func(c clients) func(*http.Request) (*http.Response, error)) call {
		return func(ctx context.Context, c clients, address string) error {
			s, err := engine.New(do(c)).Open(ctx, address, engine.Request{ID: "r"})
			if err != nil {
				return err
			}
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
	for _, c := range []struct {
		name string
		call call
		body string
		bad  []fakes.Message
	}{
		{"get", inStore(func(ctx context.Context, s *store.Client) error { _, err := s.Get(ctx, "k"); return err }), values, fakes.BadMessages()},
		{"put", inStore(func(ctx context.Context, s *store.Client) error {
			_, err := s.Put(ctx, store.Put{Key: "k"})
			return err
		}), values, fakes.BadMessages()},
		{"watch", inStore(func(ctx context.Context, s *store.Client) error {
			_, err := s.Watch(ctx, "", 0, time.Second)
			return err
		}), values, fakes.BadMessages()},
		{"instances", inStore(func(ctx context.Context, s *store.Client) error { _, err := s.Instances(ctx); return err }), "[]", fakes.BadMessages()},
		{"lease", inStore(func(ctx context.Context, s *store.Client) error { return s.KeepAlive(ctx, 1) }), "", fakes.BadHeads()},
		{"report", func(ctx context.Context, c clients, address string) error {
			_, err := engine.New(c.probe.Do).Probe(ctx, address)
			return err
		}, "{}", fakes.BadMessages()},
		{"order", func(ctx context.Context, c clients, address string) error {
			_, err := engine.New(c.order.Do).Order(ctx, address, engine.Order{})
			return err
		}, "{}", fakes.BadMessages()},
		{"stream", stream(func(c clients) func(*http.Request) (*http.Response, error) { return c.singleUse.Do }), events, fakes.BadHeads()},
		{"stream on a kept connection", stream(func(c clients) func(*http.Request) (*http.Response, error) { return c.endpoint.Do }), events, fakes.BadHeads()},
		{"plain service", func(ctx context.Context, c clients, address string) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, nil)
			if err != nil {
				return err
			}
			response, err := c.plain.Do(r)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			return err
		}, "x", fakes.BadMessages()},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			used := newClients(Options{Dial: (&net.Dialer{}).DialContext})
			defer used.close()
			wrong, err := fakes.Misread(t.Context(), func(ctx context.Context, address string) error { return c.call(ctx, used, address) }, "", c.body, c.bad)
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}
