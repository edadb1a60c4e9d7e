package main

import (
	"runtime/debug"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Two builds that run side by side would look alike if one lost its revision, or if changed
// files didn't show.
func TestRevisionOfABuild(t *testing.T) {
	is := is.New(t)
	is.Equal(revision(nil), "")
	is.True(strings.HasPrefix(checksum(), "crc32c-")) // "go test" states no revision, but has a file
	is.Equal(revision([]debug.BuildSetting{{Key: "vcs.revision", Value: "12840eb"}, {Key: "vcs.modified", Value: "false"}}), "12840eb")
	is.Equal(revision([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: "12840eb"}}), "12840eb+changed")
	registry := prometheus.NewRegistry()
	registry.MustRegister(newBuildInfo())
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(families[0].GetName(), "chead_build_info")
	is.Equal(families[0].Metric[0].Label[0].GetValue(), build())
	is.Equal(families[0].Metric[0].Gauge.GetValue(), 1.0)
}
