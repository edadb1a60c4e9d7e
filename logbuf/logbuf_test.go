package logbuf

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Write must not block while the output blocks. The lines beyond the rate limit or
// the buffer are dropped and counted: here 2000 lines of about 1 KB within a second,
// of which less than half are within the rate limit of 200 KiB per second.
func TestWriteDoesNotBlock(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	l := New(out)
	go l.Run(t.Context())
	line := []byte(strings.Repeat("x", 1000) + "\n")
	began := time.Now()
	for range 2000 {
		_, err := l.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(l.dropped.Load() > 1000)
}

// The number of dropped lines is logged once, at the next flush. The 300 lines of
// about 1 KB exceed the 200 KiB that are accepted at first.
func TestDroppedLinesAreReported(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 300 {
		_, _ = l.Write(line)
	}
	l.Flush()
	is.True(strings.Contains(out.String(), `"msg":"lines dropped"`))
	out.Reset()
	l.Flush()
	is.Equal(out.String(), "") // reported only once
}

// slowWriter is an output whose writes take a while.
type slowWriter struct {
	began chan struct{} // receives a value as a write begins
	done  atomic.Int64  // bytes written
}

func (s *slowWriter) Write(b []byte) (int, error) {
	s.began <- struct{}{}
	time.Sleep(flushTimeout / 4)
	s.done.Add(int64(len(b)))
	return len(b), nil
}

// Flush, after which the process ends, waits for lines that Run is writing.
func TestFlushWaitsForTheWriteInProgress(t *testing.T) {
	is := is.New(t)
	out := &slowWriter{began: make(chan struct{}, 10)}
	l := New(out)
	go l.Run(t.Context())
	_, err := l.Write([]byte("line\n"))
	is.NoErr(err)
	<-out.began
	l.Flush()
	is.Equal(out.done.Load(), int64(len("line\n")))
}
