package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// A request whose connection is closed by the idle timeout as the request arrives is
// either answered or not served at all.
func TestRequestAtTheIdleTimeoutIsNotServedUnanswered(t *testing.T) {
	is := is.New(t)
	const idle = 30 * time.Millisecond
	limits := NewCallers(func() site.Limits { return site.Limits{Idle: idle} })
	var mu sync.Mutex
	served := map[string]bool{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		served[r.URL.Path] = true
		mu.Unlock()
		_, _ = io.WriteString(w, "done")
	}))
	limits.Attach(server.Config)
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()

	exchange := func(c net.Conn, reader *bufio.Reader, path string) bool {
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
			return false
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		_, err = io.ReadAll(response.Body)
		return err == nil
	}
	var unanswered []string
	var callers sync.WaitGroup
	for i := range 100 {
		callers.Go(func() {
			for k := range 20 {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				reader := bufio.NewReader(c)
				_ = exchange(c, reader, "/first")
				time.Sleep(idle - time.Duration((i+k)%20)*100*time.Microsecond)
				path := fmt.Sprintf("/%d-%d", i, k)
				answered := exchange(c, reader, path)
				_ = c.Close()
				mu.Lock()
				if !answered && served[path] {
					unanswered = append(unanswered, path)
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	is.Equal(len(unanswered), 0)
}
