package main

import (
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/edge"
)

// settingsEach is how often the settings file is looked at: it may change
// without a signal.
const settingsEach = 2 * time.Second

// reload puts settings in force when SIGHUP comes or their file changes. Settings
// that can't be used change nothing.
func reload(ctx context.Context, path string, log logr.Logger, d *edge.Daemon) {
	ticker := time.NewTicker(settingsEach)
	defer ticker.Stop()
	seen := stamp(path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if stamp(path) == seen {
				continue
			}
			cause = "file"
		}
		seen = stamp(path)
		settings, err := edge.ReadSettings(path)
		if err != nil {
			log.Info("settings refused, the old ones stay", "cause", cause, "error", err.Error())
			continue
		}
		log.Info("settings read anew", "cause", cause)
		d.Reload(settings)
	}
}

// fileStamp is a version of a file: its time and its size.
type fileStamp struct {
	time time.Time
	size int64
}

// stamp returns a file's version, the zero one where it can't be read: reading it
// says why.
func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
