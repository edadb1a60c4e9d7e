// Package logbuf writes log lines asynchronously, so that logging never blocks
// the caller. Lines are buffered and written in the background. A line that
// exceeds the buffer or the rate limit is dropped and counted, and the number of
// dropped lines is logged when the buffer is next written to the output.
package logbuf

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/clock"
)

const (
	maxPending    = 256 << 10              // bytes buffered for writing
	maxPerSecond  = 200 << 10              // bytes accepted per second on average
	flushInterval = 100 * time.Millisecond // between two writes by Run
	flushTimeout  = 200 * time.Millisecond // longest wait of Flush for the output
)

// Writer is an io.Writer of log lines with a bounded buffer and a rate limit. It
// is safe for concurrent use. Use New to create one.
type Writer struct {
	out      io.Writer
	writing  sync.Mutex // held from taking the buffered lines until they are written
	mu       sync.Mutex
	pending  []byte
	quota    int // bytes accepted until the next refill
	dropped  atomic.Uint64
	reported uint64        // dropped lines whose number has been logged
	written  atomic.Uint64 // bytes written to out
}

// New returns a Writer whose lines are written to out by Run and Flush.
func New(out io.Writer) *Writer {
	return &Writer{out: out, quota: maxPerSecond}
}

// Write buffers one line, or drops and counts it if the buffer or the rate limit
// is exceeded. The error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending || len(line) > w.quota {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.quota -= len(line)
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Run writes the buffered lines at regular intervals. It never returns: after the
// context has ended it goes on writing, so that lines logged during shutdown are
// written as well.
func (w *Writer) Run(ctx context.Context) {
	ctx = context.WithoutCancel(ctx) // lines are still accepted while the process shuts down
	for clock.Beat(ctx, flushInterval) {
		w.writePending()
	}
}

// writePending writes the buffered lines, and a line with the number of lines
// dropped since the last report. It blocks while out blocks; no other method
// writes to out.
func (w *Writer) writePending() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	data := w.pending
	w.pending = nil
	w.quota = min(maxPerSecond, w.quota+int(maxPerSecond*flushInterval/time.Second))
	dropped := w.dropped.Load()
	if dropped > w.reported {
		data = fmt.Appendf(data, `{"level":"WARN","msg":"lines dropped","count":%d}`+"\n", dropped-w.reported)
		w.reported = dropped
	}
	w.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := w.out.Write(data); err != nil {
		// The output is closed; the count is still exported as a metric. A failed write
		// counts as one dropped line, however many lines data holds.
		w.dropped.Add(1)
		return
	}
	w.written.Add(uint64(len(data)))
}

// Flush writes the buffered lines, after those that Run is writing. It returns after
// flushTimeout even if a write is still blocked.
func (w *Writer) Flush() {
	done := make(chan struct{})
	go func() {
		w.writePending()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// NewMetrics returns a collector that counts the lines dropped by w.
func NewMetrics(w *Writer) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "chead_lines_dropped_total", Help: "Log lines dropped for want of room.",
	}, func() float64 { return float64(w.dropped.Load()) })
}
