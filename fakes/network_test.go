package fakes_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

// hello answers every request with the same text.
func hello(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }

// get sends a request to b:80 and reads the answer, within a time limit.
func get(client *http.Client, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://b:80/", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// Each fault breaks requests, or leaves them alone where it concerns other
// hosts, and requests work again once it is undone. A silenced connection needs
// no undoing, since a new one works.
func TestNetworkFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(n *fakes.Network)
		fails bool // the first request after the fault fails
		dial  bool // it fails while dialing
		heal  func(n *fakes.Network)
	}{
		{name: "none", fault: func(*fakes.Network) {}},
		{
			name:  "cut",
			fault: func(n *fakes.Network) { n.Cut("a", "b") },
			fails: true,
			heal:  func(n *fakes.Network) { n.Heal("a", "b") },
		},
		{
			name:  "cut from every host",
			fault: func(n *fakes.Network) { n.Cut("b", fakes.AnyHost) },
			fails: true,
			heal:  func(n *fakes.Network) { n.Heal("b", fakes.AnyHost) },
		},
		{name: "cut elsewhere", fault: func(n *fakes.Network) { n.Cut("b", "c") }},
		{name: "silence", fault: func(n *fakes.Network) { n.Silence("a", "b") }, fails: true},
		{
			name:  "kill",
			fault: func(n *fakes.Network) { n.Kill("b") },
			fails: true,
			dial:  true,
			heal:  func(n *fakes.Network) { n.Serve("b:80", http.HandlerFunc(hello)) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakes.NewNetwork()
				defer n.Close()
				n.Serve("b:80", http.HandlerFunc(hello))
				client := n.Client("a")
				is.NoErr(get(client, time.Second))
				synctest.Wait()
				test.fault(n)
				synctest.Wait()
				err := get(client, time.Second)
				is.Equal(err != nil, test.fails)
				var op *net.OpError
				is.Equal(errors.As(err, &op) && op.Op == "dial", test.dial)
				if test.heal != nil {
					test.heal(n)
				}
				is.NoErr(get(client, time.Second))
			})
		})
	}
}

// Bytes arrive after the latency, a read ends at its deadline, and the reader
// sees the end of a connection that the other end closed.
func TestNetworkLatencyAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakes.NewNetwork()
		defer n.Close()
		n.Latency = func(string, string) time.Duration { return 3 * time.Millisecond }
		l := n.Listen("b:80")
		near, err := n.Dial(t.Context(), "a", "b:80")
		is.NoErr(err)
		far, err := l.Accept()
		is.NoErr(err)
		start := time.Now()
		_, err = near.Write([]byte("x"))
		is.NoErr(err)
		_, err = far.Read(make([]byte, 1))
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Millisecond)
		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = far.Read(make([]byte, 1))
		var fault net.Error
		is.True(errors.As(err, &fault) && fault.Timeout())
		is.NoErr(near.Close())
		is.NoErr(far.SetReadDeadline(time.Time{}))
		_, err = far.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.NoErr(far.Close())
	})
}
