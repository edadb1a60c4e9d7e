package main

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// newLog returns a logger that writes one JSON object per line. Only changes of
// state are logged; frequent events are counted in the metrics instead.
func newLog(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
}
