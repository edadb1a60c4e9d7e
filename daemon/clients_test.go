package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// answerTwice answers each request on a connection with its id, and sends the answer to the
// request before once more, just before it.
func answerTwice(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader, late := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(c, late+answer); err != nil {
			return
		}
		late = answer
	}
}

// A second, late copy of an answer is no answer to the next call: not the store's, by which
// a claim or a term would count as made, and not an endpoint's, which another caller would
// get.
func TestLateAnswersAreNotTheNextCalls(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(c)
		}
	}()
	dialer := &net.Dialer{}
	c := newClients(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	}})
	t.Cleanup(c.close)
	for name, client := range map[string]*http.Client{"store": c.store, "plain": c.plain, "single use": c.singleUse} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 3 {
				r, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
				is.NoErr(err)
				id := fmt.Sprint(name, i)
				r.Header.Set("X-Request-Id", id)
				response, err := client.Do(r)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(string(body), id)
			}
		})
	}
}
