//go:build review

// Package stand runs a small deployment on loopback for the cases of the third review: the
// daemons as separate processes, with stand-ins for the platform's store, runners and clients.
// It is built as the binary of a test, which plays the case that the variable CASE names and
// writes its record to the file that RECORD names.
package stand

import (
	"fmt"
	"os"
	"testing"
)

// cases holds what is played, and the configuration that it begins with, by name.
var cases = map[string]struct {
	config string
	play   func(s *Site) int
}{
	"leave": {poisonConfig, func(s *Site) int { return poisonPlay(s, "leave") }},
	"roll":  {poisonConfig, func(s *Site) int { return poisonPlay(s, "roll") }},
	"stay":  {poisonConfig, func(s *Site) int { return poisonPlay(s, "stay") }},
	"drain": {drainConfig, drainPlay},
	"chill": {chillConfig, chillPlay},
	"ids":   {idsConfig, idsPlay},
	"path":  {pathConfig, pathPlay},
}

func TestMain(*testing.M) {
	c, known := cases[os.Getenv("CASE")]
	if !known {
		Check(fmt.Errorf("no case %q", os.Getenv("CASE")))
	}
	s := New(os.Getenv("RECORD"), c.config)
	code := c.play(s)
	s.Close()
	os.Exit(code)
}
