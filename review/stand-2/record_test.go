package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// add writes a line.
func (r *record) add(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }
