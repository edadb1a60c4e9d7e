package front

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that ends its side of the connection is taken to have left. It may still read,
// and must not get a success that no endpoint gave.
func TestCallerThatLeftGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/read/", "/file/", "/talk/", "/tell/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			service := "plain"
			if path == "/talk/" || path == "/tell/" {
				service = "engines"
			}
			f := newFixture(t, service, newStub(t, "a", func(io.Writer, *http.Request) bool {
				time.Sleep(300 * time.Millisecond)
				return false
			}))
			c, err := net.Dial("tcp4", f.http.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: "+testHost+"\r\nX-Request-Id: id-1\r\nAuthorization: Bearer good-key\r\nX-Model: m\r\nContent-Length: 1\r\n\r\nb")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			got, _ := io.ReadAll(c)
			is.Equal(string(got), "")
		})
	}
}
