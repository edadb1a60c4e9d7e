package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// What a faulty endpoint sent on an idle connection was written by net/http as it came, with
// up to 4 KB a time, among the lines of the log.
func TestBytesOnIdleConnectionsAreLoggedShort(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	captureLibraryLog(newLog(&out))
	defer log.SetOutput(os.Stderr)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	answered, closed := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				<-answered // so that the connection is idle
				_, _ = io.WriteString(c, strings.Repeat("x\n", 2000))
				_, _ = io.Copy(io.Discard, c)
				closed <- struct{}{}
			}()
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	for range 10 {
		response, err := client.Get("http://" + listener.Addr().String())
		is.NoErr(err)
		_ = response.Body.Close()
		answered <- struct{}{}
		<-closed
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"msg":"library"`))
	is.True(len(lines[0]) < 2*maxLibraryLine)
}

func TestLibraryLinesThatWerePassedOverAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := &libraryLog{log: newLog(&out)}
	for range 4 {
		_, err := fmt.Fprintln(l, "a line")
		is.NoErr(err)
	}
	l.next = time.Time{}
	_, err := fmt.Fprintln(l, "another")
	is.NoErr(err)
	is.True(strings.Contains(out.String(), `"text":"another","bytes":8,"passed":3`))
}
