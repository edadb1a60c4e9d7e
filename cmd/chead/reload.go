package main

import (
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/edge"
)

// pollInterval is the time between two checks of the settings file, which may change
// without a signal.
const pollInterval = 2 * time.Second

// reload applies the settings file when SIGHUP arrives or the file changes, until
// the context ends. Invalid settings are logged, and the previous ones stay in
// force.
func reload(ctx context.Context, path string, log logr.Logger, d *edge.Daemon) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	loaded := versionOf(path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if versionOf(path) == loaded {
				continue
			}
			cause = "file"
		}
		loaded = versionOf(path)
		settings, err := edge.ReadSettings(path)
		if err != nil {
			log.Info("settings refused, the old ones stay", "cause", cause, "error", err.Error())
			continue
		}
		log.Info("settings read anew", "cause", cause)
		d.Reload(settings)
	}
}

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	time time.Time
	size int64
}

// versionOf returns the version of a file, or the zero version if its status cannot
// be read. The cause is reported when the file itself is read.
func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
