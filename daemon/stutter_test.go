package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// stutter answers each request on a connection with its id, and sends the answer to the
// request before once more, just before it.
func stutter(conn net.Conn) {
	defer conn.Close()
	input := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		body := fmt.Sprintf(`{"choices":[{"text":%q}]}`, request.Header.Get("X-Request-Id"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := fmt.Fprint(conn, late, answer); err != nil {
			return
		}
		late = answer
	}
}

// TestLateSecondAnswerIsNotPassedOn calls a plain service that answers each request
// twice, the second time late. Each caller must get its own answer.
func TestLateSecondAnswerIsNotPassedOn(t *testing.T) {
	withCluster(t, func(c *cluster) {
		is := is.New(c.t)
		listener := c.network.Listen("stutter:80")
		defer listener.Close()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go stutter(conn)
			}
		}()
		caller := c.network.Client("caller")
		for i := range 5 {
			id := fmt.Sprint("call-", i)
			got := c.send(caller, "http://d1:80/services/stutter/x", "x", id, false)
			is.NoErr(got.err)
			is.Equal(got.text, id)
		}
	})
}
