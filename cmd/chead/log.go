package main

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// newLog returns a log of one JSON object a line. It is written to at changes
// of state alone; what happens often is counted in the metrics.
func newLog(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
}
