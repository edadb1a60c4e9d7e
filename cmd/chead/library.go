package main

import (
	"log"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	maxLibraryLine     = 200         // bytes of a line that are logged: some quote what an endpoint sent
	libraryLogInterval = time.Second // least time between two lines
)

// libraryLog is the output of the standard logger, which packages of the library use. It
// passes a line on as a structured one, at most one in libraryLogInterval: what makes them
// write is sent by endpoints and callers.
type libraryLog struct {
	log logr.Logger

	mu     sync.Mutex
	next   time.Time // no line before then
	passed int       // lines that were not logged since the last one
}

// captureLibraryLog makes the standard logger write to a log.
func captureLibraryLog(l logr.Logger) {
	log.SetFlags(0)
	log.SetOutput(&libraryLog{log: l})
}

// Write logs a line.
func (l *libraryLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.next) {
		l.passed++
		return len(line), nil
	}
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryLine)]))
	l.log.Info("library", "text", text, "bytes", len(line), "passed", l.passed)
	l.next = now.Add(libraryLogInterval)
	l.passed = 0
	return len(line), nil
}
