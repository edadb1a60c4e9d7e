package main

import (
	"log/slog"
	"os"
)

// logHandler returns a handler that writes the log of a daemon to standard error.
func logHandler(daemon int) slog.Handler {
	return slog.NewJSONHandler(os.Stderr, nil).WithAttrs([]slog.Attr{slog.Int("daemon", daemon)})
}
