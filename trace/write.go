package trace

import (
	"fmt"
	"io"
	"time"
)

// Write writes the trace as text: a header with the outcome, then all lines in
// order of time, with their offset from the arrival of the request in seconds. The
// lines that carry the id of the request are marked with an asterisk.
func (t *Trace) Write(w io.Writer) error {
	if err := t.writeHeader(w); err != nil {
		return err
	}
	tagged, related := t.Tagged, t.Related
	for len(tagged)+len(related) > 0 {
		mark, line := '*', Line{}
		if len(tagged) == 0 || len(related) > 0 && related[0].Time.Before(tagged[0].Time) {
			mark, line, related = ' ', related[0], related[1:]
		} else {
			line, tagged = tagged[0], tagged[1:]
		}
		at := line.Time.Sub(t.Arrived).Round(time.Millisecond).Seconds()
		if _, err := fmt.Fprintf(w, "%c %+8.3f s  %-16s  %s\n", mark, at, line.Daemon, line); err != nil {
			return err
		}
	}
	if t.Skipped == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n%d lines of the input are no log lines.\n", t.Skipped)
	return err
}

// writeHeader writes the identity, the arrival time and the outcome of the request.
func (t *Trace) writeHeader(w io.Writer) error {
	e := t.End
	_, err := fmt.Fprintf(w, "request %s at %s\n  route %s, account %s, model %s; arrived %s\n  %s\n%s\n",
		t.ID, e.Daemon, orNone(e.Get("route")), orNone(e.Get("account")), orNone(e.Get("model")), t.Arrived.UTC().Format(time.RFC3339Nano), t.outcome(), t.admission())
	return err
}

// admission returns a line on what a request was admitted by, or nothing if it wasn't or its
// daemon doesn't tell.
func (t *Trace) admission() string {
	e := t.End
	if e.Get("basis") == "" {
		return ""
	}
	return fmt.Sprintf("  admitted by configuration %s of era %s, %s ms after that was confirmed; basis: %s\n", e.Get("admitted"), e.Get("era"), e.Get("admitted_age_ms"), e.Get("basis"))
}

// outcome returns one sentence on how the request ended and whether it ran.
func (t *Trace) outcome() string {
	e := t.End
	if e.Message == inProgress {
		return fmt.Sprintf("no line tells of its end: it was in progress as its daemon logged %q, %s ms after its arrival, with %s sends and %s events",
			e.Get("cause"), e.Get("elapsed_ms"), e.Get("sends"), e.Get("events"))
	}
	if !isEnd(e) {
		return "no line tells of its end: it is in progress, its daemon ended, or lines were dropped"
	}
	text := e.Message[len("request "):]
	if status := e.Get("status"); status != "0" {
		text += " with " + status
	}
	if reason := e.Get("reason"); reason != "" {
		text += " (" + reason + ")"
	}
	ran := "it has not run"
	if n := e.number("ran"); n > 0 {
		ran = fmt.Sprintf("it ran or may have run %d times", n)
	}
	return fmt.Sprintf("%s after %s ms; %s; decided on configuration %s and a picture at most %s ms old",
		text, e.Get("took_ms"), ran, e.Get("version"), e.Get("age_ms"))
}

// orNone returns the text, or "none" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
