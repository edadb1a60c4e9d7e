package main

import (
	"log/slog"
	"os"
)

func traceHandler(daemon int) slog.Handler {
	return slog.NewJSONHandler(os.Stderr, nil).WithAttrs([]slog.Attr{slog.Int("daemon", daemon)})
}
