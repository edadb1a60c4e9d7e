package entry_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
)

// answerWith accepts connections, and answers each request with some bytes before it closes
// the connection.
func answerWith(t *testing.T, bytes string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, bytes)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against answers of endpoints and plain services whose head broke off and which
// callers got as whole ones (issue 45, reports of others): whatever is missing of the head,
// there is no answer, and the request may have run.
func TestAnswerWhoseHeadBreaksOff(t *testing.T) {
	for _, framing := range []string{"Content-Length: 0\r\n", "Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
		for offset := range len(head) {
			address := answerWith(t, head[:offset])
			for _, unpooled := range []bool{false, true} {
				is := is.New(t)
				client := &http.Client{Transport: entry.NewTransport(unpooled)}
				_, err := engine.New(client.Do).Open(t.Context(), address, engine.Request{ID: "r", Path: "/v1/x", Body: []byte("{}")})
				var failed *engine.Error
				is.True(errors.As(err, &failed))
				is.Equal(failed.Kind, engine.Broken)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", nil)
				is.NoErr(err)
				_, err = client.Do(r) // as a call of a plain service
				is.True(err != nil)
				client.CloseIdleConnections()
			}
		}
	}
}
