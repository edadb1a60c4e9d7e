package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request that began to run at a runner.
type arrival struct {
	at      time.Time
	request string
	runner  string
}

// record is what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// arrival records that a request began to run.
func (r *record) arrival(request, runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), request, runner})
	r.write("runner %s begins to run %s", runner, request)
}

// list returns the arrivals so far.
func (r *record) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
