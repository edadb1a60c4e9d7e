package main

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// testCase is one case.
type testCase struct {
	run  func(dir string, rec *record, trouble bool) (int, error) // returns an exit code
	port int                                                      // before the first of its ports
}

// cases are the cases by name.
var cases = map[string]testCase{
	"slow":  {slowCase, 23000},
	"crash": {crashCase, 23200},
	"path":  {pathCase, 23400},
}

// TestMain runs the case that CASE names and writes its record to RECORD.
func TestMain(*testing.M) {
	c, known := cases[os.Getenv("CASE")]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	port = c.port
	code, err := c.run(dir, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("not run: %v", err)
		code = notRun
	}
	rec.note("exit %d", code)
	time.Sleep(10 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}
