package reply_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
)

// uploadSize is the bytes of a request of which the sockets of both ends hold only a part.
const uploadSize = 8 << 20

func resetConn(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }

// An answer that ends with its connection, while the request is still written, is whole only
// if the connection ends properly and the request was read: through a Transport, as the
// store, engines and plain services are called, the part that had come was a whole answer to
// the caller (issue 54).
func TestEarlyAnswerThatIsReset(t *testing.T) {
	const part = "part"
	for _, c := range []struct {
		name, framing, body string
		end                 func(c *net.TCPConn, r *http.Request)
		whole               bool
	}{
		{"reset", "", part, resetConn, false},
		{"closed with unread bytes", "", part, func(*net.TCPConn, *http.Request) {}, false},
		{"no body, reset", "", "", resetConn, false},
		{"reset within a length", "Content-Length: 100\r\n", part, resetConn, false},
		{"reset within chunks", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", resetConn, false},
		{"half closed, not read on", "", part, func(c *net.TCPConn, _ *http.Request) {
			_ = c.CloseWrite()
			time.Sleep(1200 * time.Millisecond)
		}, false},
		{"all read before the end", "", part, func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, true},
		{"half closed, then all read", "", part, func(c *net.TCPConn, r *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}, true},
	} {
		for _, single := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, single %v", c.name, single), func(t *testing.T) {
				t.Parallel()
				for range 4 { // which of read and write is told varies
					is := is.New(t)
					address, stop, err := fakes.Script(func(conn *net.TCPConn, r *http.Request) {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", c.framing, c.body)
						time.Sleep(20 * time.Millisecond)
						c.end(conn, r)
					})
					is.NoErr(err)
					body, err := fetch(reply.NewTransport(&http.Transport{}), single, address, make([]byte, uploadSize))
					stop()
					is.Equal(err == nil, c.whole)
					if c.whole {
						is.Equal(body, part)
					}
				}
			})
		}
	}
}

// fetch posts a body to an address and returns that of the answer.
func fetch(transport *reply.Transport, single bool, address string, body []byte) (string, error) {
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if single {
		client = transport.Single()
	}
	return post(client, address, body)
}

// post posts a body to an address and returns that of the answer.
func post(client *http.Client, address string, body []byte) (string, error) {
	response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}
