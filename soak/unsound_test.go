package soak

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
)

// The soak's callers take no message for an answer that is none (issue 54): it would not see
// that a daemon sent one.
func TestCallersRefuseUnsoundAnswers(t *testing.T) {
	c := newClient(&cluster{})
	request := func() *record {
		return &record{id: "r", path: readPath, key: "good-key", deadline: time.Second, sent: time.Now()}
	}
	for name, read := range map[string]fakes.Reader{
		"through a path": func(_ context.Context, address string) error {
			rec := request()
			call, err := rec.call(address).Request(t.Context())
			if err != nil {
				return err
			}
			response, err := c.http.Do(call)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			rec.read(response)
			return rec.err
		},
		"on a kept connection": func(_ context.Context, address string) error {
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			k := &keptCaller{client: c, daemon: &daemon{}, chances: rand.New(rand.NewPCG(1, 1))}
			k.daemon.caller = address
			rec := request()
			checked := reply.NewConn(conn)
			k.exchange(checked, bufio.NewReader(checked), rec)
			if rec.ending != answered {
				return errors.Join(rec.err, errors.New(rec.ending.String()))
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wrong, err := fakes.Misread(t.Context(), read, "", "x", fakes.BadMessages())
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}
