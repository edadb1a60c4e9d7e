package story

import (
	"fmt"
	"io"
	"time"
)

// Write prints the story: a verdict, then all lines by time from the request's
// arrival, its own marked with a star.
func (s *Story) Write(w io.Writer) error {
	if err := s.head(w); err != nil {
		return err
	}
	own, around := s.Own, s.Around
	for len(own)+len(around) > 0 {
		mark, line := '*', Line{}
		if len(own) == 0 || len(around) > 0 && around[0].Time.Before(own[0].Time) {
			mark, line, around = ' ', around[0], around[1:]
		} else {
			line, own = own[0], own[1:]
		}
		at := line.Time.Sub(s.Arrived).Round(time.Millisecond).Seconds()
		if _, err := fmt.Fprintf(w, "%c %+8.3f s  %-16s  %s\n", mark, at, line.Daemon, line); err != nil {
			return err
		}
	}
	if s.Other == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n%d lines of the input are no log lines.\n", s.Other)
	return err
}

func (s *Story) head(w io.Writer) error {
	e := s.End
	_, err := fmt.Fprintf(w, "request %s at %s\n  route %s, account %s, model %s; arrived %s\n  %s\n\n",
		s.ID, e.Daemon, or(e.Get("route")), or(e.Get("account")), or(e.Get("model")), s.Arrived.UTC().Format(time.RFC3339Nano), s.verdict())
	return err
}

// verdict says in one sentence how the request ended and whether it ran.
func (s *Story) verdict() string {
	e := s.End
	if !ended(e) {
		return "no line tells of its end: it is in progress, its daemon ended, or lines were dropped"
	}
	how := e.Message[len("request "):]
	if status := e.Get("status"); status != "0" {
		how += " with " + status
	}
	if reason := e.Get("reason"); reason != "" {
		how += " (" + reason + ")"
	}
	ran := "it has not run"
	if n := e.number("ran"); n > 0 {
		ran = fmt.Sprintf("it ran or may have run %d times", n)
	}
	return fmt.Sprintf("%s after %s ms; %s; decided on configuration %s and a picture at most %s ms old",
		how, e.Get("took_ms"), ran, e.Get("version"), e.Get("age_ms"))
}

func or(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
