package edge

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// Messages that are no answers (issue 54) are none of the store's and of engines': by one, a
// change would count as made, a key as gone, or an order as done.
func TestUnsoundAnswersOfStoreAndEngines(t *testing.T) {
	const body = `{"key":"k","value":"","revision":1,"as_of":1,"items":[],"events":[],"lease":1,"ttl_ms":1000,"phase":"both","models":[],"sequence":2}`
	store := func(call func(context.Context, *platform.Store) error) fakes.Reader {
		return func(ctx context.Context, address string) error {
			transport := newTransport(conns.Dial)
			defer transport.CloseIdleConnections()
			return call(ctx, platform.NewStore(address, transport.Single().Do))
		}
	}
	engine := func(call func(context.Context, *platform.Engines, site.Endpoint) error) fakes.Reader {
		return func(ctx context.Context, address string) error {
			transport := newTransport(conns.Dial)
			defer transport.CloseIdleConnections()
			return call(ctx, platform.NewEngines(transport), site.Endpoint{ID: "e", Address: address})
		}
	}
	for name, read := range map[string]fakes.Reader{
		"get": store(func(ctx context.Context, s *platform.Store) error { _, err := s.Get(ctx, "k"); return err }),
		"list": store(func(ctx context.Context, s *platform.Store) error {
			_, err := s.List(ctx, platform.AllKeys, time.Second)
			return err
		}),
		"revision": store(func(ctx context.Context, s *platform.Store) error {
			_, _, err := s.Revision(ctx, time.Second)
			return err
		}),
		"watch": store(func(ctx context.Context, s *platform.Store) error {
			_, err := s.Watch(ctx, platform.AllKeys, 0, 1, time.Second)
			return err
		}),
		"commit": store(func(ctx context.Context, s *platform.Store) error {
			_, err := s.Commit(ctx, platform.Txn{})
			return err
		}),
		"grant":  store(func(ctx context.Context, s *platform.Store) error { _, err := s.Grant(ctx, time.Second); return err }),
		"renew":  store(func(ctx context.Context, s *platform.Store) error { return s.Renew(ctx, platform.Lease{ID: 1}) }),
		"revoke": store(func(ctx context.Context, s *platform.Store) error { return s.Revoke(ctx, platform.Lease{ID: 1}) }),
		"report": engine(func(ctx context.Context, e *platform.Engines, to site.Endpoint) error {
			_, err := e.Report(ctx, to)
			return err
		}),
		"order": engine(func(ctx context.Context, e *platform.Engines, to site.Endpoint) error {
			_, err := e.SendOrder(ctx, to, platform.Order{Verb: platform.Join})
			return err
		}),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wrong, err := fakes.Misread(t.Context(), read, "", body, fakes.BadMessages())
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}
