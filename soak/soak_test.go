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

// build builds the programs under test.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../cmd/chead", "../cmd/chfake").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// Seeds that failed once, each with its cause.
var failed = []uint64{
	9,   // equal requests were refused for a minute after three cut connections
	102, // SIGHUP ended a daemon that had just been started
}

func TestSeedsThatFailed(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	is := is.New(t)
	bin := build(t)
	for _, seed := range failed {
		report, err := Run(context.Background(), Options{
			Seed: seed, Dir: t.TempDir(), Edge: filepath.Join(bin, "chead"), Fake: filepath.Join(bin, "chfake"),
			Daemons: 3, Runners: 8, Length: 10 * time.Second,
		})
		is.NoErr(err)
		is.True(report.Served > 100) // the load came through
		if len(report.Broken) > 0 {
			t.Errorf("seed %d: %s\nfaults: %v", seed, strings.Join(report.Broken, "\n"), report.Steps)
		}
	}
}

// The plan of a seed is the same everywhere, has every fault somewhere, and keeps
// to its targets.
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
			is.True(s.For >= shortest && s.For <= outage)
		}
	}
	is.Equal(len(kinds), int(faults))
}

// A version that isn't served in time is found, unless a newer one came while its
// probe was on its way (seed 215: the daemon had the newer one, rightly).
func TestProbeOfAnOlderVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	w := &world{version: 1, changes: map[int]time.Time{1: now}}
	p := newProbe(w, nil)
	missing := record{status: 404, sent: now.Add(inForce + time.Second), ended: now.Add(inForce + time.Second)}
	p.apply(0, 1, now, missing)
	is.Equal(len(p.broken()), 1)
	w.version = 2
	p.apply(0, 1, now, missing)
	is.Equal(len(p.broken()), 1)
}
