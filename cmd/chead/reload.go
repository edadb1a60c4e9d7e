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
// the context ends, and a last time then, so that a stop goes by the grace period that
// is in the file. Invalid settings are logged, and the previous ones stay in force.
func reload(ctx context.Context, file *settingsFile, log logr.Logger, d *edge.Daemon) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			if file.changed() {
				apply(file, "file", log, d)
			}
			return
		case <-hangups:
		case <-ticker.C:
			if !file.changed() {
				continue
			}
			cause = "file"
		}
		apply(file, cause, log, d)
	}
}

// apply reads the settings file and applies it to the daemon.
func apply(file *settingsFile, cause string, log logr.Logger, d *edge.Daemon) {
	settings, err := file.read()
	if err != nil {
		log.Info("settings refused, the old ones stay", "cause", cause, "error", err.Error())
		return
	}
	log.Info("settings read anew", "cause", cause)
	d.Reload(settings)
}

// settingsFile is a settings file and the version of it that was read last.
type settingsFile struct {
	path   string
	loaded fileVersion
}

// read reads the settings. The version is taken before, so that a change during or
// after the read is noticed by changed.
func (f *settingsFile) read() (edge.Settings, error) {
	f.loaded = versionOf(f.path)
	return edge.ReadSettings(f.path)
}

// changed reports whether the file differs from the version that was read last.
func (f *settingsFile) changed() bool { return versionOf(f.path) != f.loaded }

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
