package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// build builds the programs under test and returns their directory.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../cmd/chead", "../cmd/chfake").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// failedSeeds are seeds that failed in the past, each with its cause.
var failedSeeds = []uint64{
	9,   // equal requests were refused for a minute after three cut connections
	102, // SIGHUP ended a daemon that had just been started
}

// Seeds that failed in the past break no promise any more.
func TestFailedSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	is := is.New(t)
	bin := build(t)
	for _, seed := range failedSeeds {
		report, err := Run(context.Background(), Options{
			Seed: seed, Dir: t.TempDir(), Chead: filepath.Join(bin, "chead"), Chfake: filepath.Join(bin, "chfake"),
			Daemons: 3, Runners: 8, Length: 10 * time.Second,
		})
		is.NoErr(err)
		is.True(report.Served > 100) // the load was served
		if len(report.Failures) > 0 {
			t.Errorf("seed %d: %s\nfaults: %v", seed, strings.Join(report.Failures, "\n"), report.Steps)
		}
	}
}

// The plan of a seed is deterministic, plans include every kind of fault, and
// targets and durations are within their bounds.
func TestPlan(t *testing.T) {
	is := is.New(t)
	kinds := map[Fault]bool{}
	for seed := range uint64(40) {
		steps := Plan(seed, 10*time.Second, 3, 8)
		is.Equal(steps, Plan(seed, 10*time.Second, 3, 8))
		for i, s := range steps {
			kinds[s.Fault] = true
			is.True(i == 0 || s.At >= steps[i-1].At)
			is.True(s.Target < 8)
			is.True(s.For >= minFault && s.For <= longFault)
		}
	}
	is.Equal(len(kinds), int(faults))
}

// The probe reports a version that isn't served in time, unless a newer version
// was written while the probe was in flight (seed 215: the daemon correctly had
// the newer one).
func TestProbeOfAnOlderVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &cluster{version: 1, changes: map[int]time.Time{1: now}}
	p := newProbe(c, nil)
	missing := record{status: 404, sent: now.Add(applyLimit + time.Second), ended: now.Add(applyLimit + time.Second)}
	p.checkApplied(0, 1, now, missing)
	is.Equal(len(p.broken()), 1)
	c.version = 2
	p.checkApplied(0, 1, now, missing)
	is.Equal(len(p.broken()), 1)
}
