package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"runtime/debug"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// version is set by the linker, with -ldflags "-X main.version=NAME". Empty: not set.
var version string

// build returns the name of this build: the version that the linker set, or else the revision
// in the repository, or else the checksum of the program's file.
var build = sync.OnceValue(func() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		if name := revision(info.Settings); name != "" {
			return name
		}
	}
	return checksum()
})

// checksum returns the CRC-32C of the program's file, which tells builds apart that state no
// revision, or "unknown" if it can't be read.
func checksum() string {
	const unknown = "unknown"
	path, err := os.Executable()
	if err != nil {
		return unknown
	}
	file, err := os.Open(path)
	if err != nil {
		return unknown
	}
	defer func() { _ = file.Close() }()
	sum := crc32.New(crc32.MakeTable(crc32.Castagnoli))
	if _, err := io.Copy(sum, file); err != nil {
		return unknown
	}
	return fmt.Sprintf("crc32c-%08x", sum.Sum32())
}

// revision returns the revision in the repository that the settings of a build state, with
// "+changed" if the files differed from it, or an empty string.
func revision(settings []debug.BuildSetting) string {
	name, suffix := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			name = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+changed"
		}
	}
	if name == "" {
		return ""
	}
	return name + suffix
}

// newBuildInfo returns the metric that names the build.
func newBuildInfo() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chead_build_info", Help: "1, by the build of this program.",
		ConstLabels: prometheus.Labels{"revision": build()},
	}, func() float64 { return 1 })
}
