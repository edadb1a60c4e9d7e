//go:build review

// Package stand plays the scripted cases of the review. Each case starts daemons as
// separate processes on loopback addresses, with stand-ins for the store, the operator,
// the runners and the callers in this process, and checks one rule by what the runners
// and the callers saw. The test binary exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the scripted cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*cluster) (bool, error){
	"copy":    olderCopy,
	"writer":  otherWriter,
	"backlog": backlog,
	"restart": restart,
	"storm":   storm,
}

// TestMain plays a case in place of tests.
func TestMain(*testing.M) { os.Exit(run()) }

// run plays the case that the arguments name: CASE CHEAD RECORD, the path of the daemon's
// program and that of the record to be written.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE CHEAD RECORD")
		return failed
	}
	chead, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	c, err := newCluster(chead, rec, os.Getenv("TROUBLE") != "0")
	if c != nil {
		defer c.close()
	}
	if err != nil {
		rec.note("could not start: %v", err)
		return failed
	}
	wrong, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		return failed
	case wrong:
		rec.note("RULE BROKEN")
		return broken
	}
	rec.note("rule held")
	return held
}
