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

// stopSeeds are seeds of the profile Stops that failed in the past: a daemon cut
// answers of endpoints whose events come 600 to 1,400 ms apart, and took the late
// second answer of an endpoint for that of the next request.
var stopSeeds = []uint64{
	2, // all endpoints are slow
	4, // some are
}

// crashSeeds are seeds of the profile Crashes that failed in the past: requests with one
// part in their prompts went on crashing endpoints.
var crashSeeds = []uint64{1}

// limitSeeds are seeds of the profile Limits that failed in the past: endpoints got up to
// eleven times what they took.
var limitSeeds = []uint64{1}

// cutSeeds are seeds of the profile Cuts that failed in the past.
var cutSeeds = []uint64{
	2, // requests that ran were said not to have run
}

// stormSeeds are seeds of the profile Storms, which have not failed.
var stormSeeds = []uint64{1}

// turnSeeds are seeds of the profile Turns that failed in the past: a configuration was not
// in force in time, where an answer to a watch holds one change.
var turnSeeds = []uint64{6001000}

// buildSeeds are seeds of the profile Builds, which have not failed.
var buildSeeds = []uint64{1}

// Seeds that failed in the past break no promise any more.
func TestFailedSeeds(t *testing.T) {
	runSeeds(t, failedSeeds, Options{Daemons: 3, Runners: 8, Length: 10 * time.Second})
}

// While daemons are stopped, and their endpoints are slow, stutter and break off,
// callers that stay with a daemon lose no answer and get no other one.
func TestAnswersLostOrMixedAtAStop(t *testing.T) {
	runSeeds(t, stopSeeds, Options{Profile: Stops, Daemons: 3, Runners: 10, Length: 10 * time.Second})
}

// shownFailures is the number of failures of a seed that a test prints.
const shownFailures = 10

// runSeeds runs seeds and reports the promises that they break.
func runSeeds(t *testing.T, seeds []uint64, o Options) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	is := is.New(t)
	bin := build(t)
	o.Chead, o.Chfake = filepath.Join(bin, "chead"), filepath.Join(bin, "chfake")
	for _, seed := range seeds {
		o.Seed, o.Dir = seed, t.TempDir()
		report, err := Run(context.Background(), o)
		is.NoErr(err)
		is.True(report.Served > 100) // the load was served
		is.Equal(report.Upgraded > 0, o.Profile == Builds)
		if n := len(report.Failures); n > 0 {
			t.Errorf("seed %d: %d promises broken, the first: %s\nfaults: %v", seed, n, strings.Join(report.Failures[:min(n, shownFailures)], "\n"), report.Steps)
		}
	}
}

// The plans of the profile Mixed stay as they are, so that a seed that failed in the
// past still means the same; those of Stops stop one daemon at least and never all.
func TestPlansOfSeedsStay(t *testing.T) {
	is := is.New(t)
	steps := Plan(9, 10*time.Second, 3, 8)
	is.Equal(len(steps), 24)
	is.Equal(steps[1].String(), "770.604619ms for 782.242021ms: KillDaemon 2 Pass")
	is.Equal(steps[23].String(), "9.774649622s for 7s: CutRunner 7 Silent")
	for seed := range uint64(40) {
		is.Equal(planStops(seed, 20*time.Second, 3, 10), planStops(seed, 20*time.Second, 3, 10))
		stopped := map[int]bool{}
		for _, s := range planStops(seed, roundEvery, 3, 10) {
			is.True(s.At >= 0)
			is.True(s.Target < 10)
			if s.Fault == StopDaemon {
				stopped[s.Target] = true
			}
		}
		is.True(len(stopped) == 1 || len(stopped) == 2)
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
	is.Equal(len(kinds), mixedFaults)
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

// Prompts that share one part crash the endpoints that begin to answer them. They must soon
// reach none any more, and sound ones must be served.
func TestPartThatCrashesEndpointsGoesOnCrashing(t *testing.T) {
	runSeeds(t, crashSeeds, Options{Profile: Crashes, Daemons: 3, Runners: 16, Length: 16 * time.Second})
}

// Endpoints that state a limit get hardly more, while daemons are stopped and endpoints
// restarted.
func TestEndpointsGetMoreThanTheLimitTheyState(t *testing.T) {
	runSeeds(t, limitSeeds, Options{Profile: Limits, Daemons: 3, Runners: 10, Length: 16 * time.Second})
}

// Daemons that are cut off from all endpoints serve hardly less often than the others, while
// daemons are stopped and endpoints restarted.
func TestCutOffDaemonsServeFarLess(t *testing.T) {
	runSeeds(t, cutSeeds, Options{Profile: Cuts, Daemons: 3, Runners: 12, Length: 26 * time.Second})
}

// The plans of the profile Cuts cut off one daemon at least in each round, and never all.
func TestPlansOfCuts(t *testing.T) {
	is := is.New(t)
	hows := map[Cut]bool{}
	for seed := range uint64(40) {
		is.Equal(planCuts(seed, 26*time.Second, 3, 12), planCuts(seed, 26*time.Second, 3, 12))
		cut := map[int]bool{}
		for _, s := range planCuts(seed, cutRound, 3, 12) {
			if s.Fault == CutEndpoints {
				cut[s.Target] = true
				hows[s.Cut] = true
			}
		}
		is.True(len(cut) == 1 || len(cut) == 2)
	}
	is.Equal(len(hows), len(endpointCuts))
}

// While daemons are killed in series and endpoints refuse most requests, all daemons
// together keep to the retry budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	runSeeds(t, stormSeeds, Options{Profile: Storms, Daemons: 3, Runners: 10, Length: 18 * time.Second})
}

// The plans of the profile Storms kill one daemon at least in each round or stop it, and
// never all.
func TestPlansOfStorms(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		is.Equal(planStorms(seed, 20*time.Second, 3, 10), planStorms(seed, 20*time.Second, 3, 10))
		ended := map[int]bool{}
		for _, s := range planStorms(seed, killEvery, 3, 10) {
			if s.Fault == KillDaemon || s.Fault == StopDaemon {
				ended[s.Target] = true
			}
		}
		is.True(len(ended) == 1 || len(ended) == 2)
	}
}

// While the store refuses one daemon after the other and configurations come in quick
// succession, no daemon serves a key that was taken away, or goes back to an older version.
func TestPromisesHoldWhileTheStoreTurnsDaemonsAway(t *testing.T) {
	runSeeds(t, turnSeeds, Options{Profile: Turns, Daemons: 3, Runners: 10, Length: 18 * time.Second})
}

// The plans of the profile Turns turn daemons away in an order that repeats, never three at
// once, with configurations less than 100 ms apart.
func TestPlansOfTurns(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		steps := planTurns(seed, 30*time.Second, 3, 10)
		is.Equal(steps, planTurns(seed, 30*time.Second, 3, 10))
		var turns []Step
		quick := 0
		changed := time.Duration(-time.Second)
		for _, s := range steps {
			switch s.Fault {
			case TurnAway:
				turns = append(turns, s)
			case Change:
				if s.At-changed < 100*time.Millisecond {
					quick++
				}
				changed = s.At
			}
		}
		is.True(quick > 0)
		is.True(len(turns) > 3)
		for i, s := range turns[3:] {
			is.Equal(s.Target, turns[i].Target)
			is.True(s.At >= turns[i+1].At+turns[i+1].For)
		}
	}
}

// The budget is exceeded only where more requests come again than it allows, in a window,
// by the window that has most requests.
func TestOverBudget(t *testing.T) {
	at := func(every time.Duration, n int) (times []time.Time) {
		for i := range n {
			times = append(times, time.Unix(1000, 0).Add(time.Duration(i)*every))
		}
		return times
	}
	for name, c := range map[string]struct {
		requests, again []time.Time
		over            bool
	}{
		"none":                  {at(time.Millisecond, 100), nil, false},
		"extra":                 {nil, at(time.Millisecond, extraRetries), false},
		"one more":              {nil, at(time.Millisecond, extraRetries+1), true},
		"by requests":           {at(time.Millisecond, 500), at(time.Millisecond, extraRetries+100), false},
		"more than by requests": {at(time.Millisecond, 500), at(time.Millisecond, extraRetries+101), true},
		"spread":                {nil, at(time.Second, 1000), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal((&cluster{}).overBudget(c.requests, c.again) != "", c.over)
		})
	}
}

// Daemons are replaced one by one and back again without a broken promise. Both builds are the
// same program here; with chsoak they differ.
func TestPromisesHoldWhileDaemonsAreReplaced(t *testing.T) {
	runSeeds(t, buildSeeds, Options{Profile: Builds, Daemons: 2, Runners: 10, Length: 26 * time.Second})
}

// A pass of the profile Builds stops each daemon once, one after the other. If one were left
// out, the old build would stay, and a rollback would begin with builds mixed.
func TestPlansOfBuilds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		steps := planBuilds(seed, firstStop+6*replaceEvery, 3, 10)
		is.Equal(steps, planBuilds(seed, firstStop+6*replaceEvery, 3, 10))
		var targets []int
		for _, s := range steps {
			if s.Fault == StopDaemon {
				is.Equal(s.At, firstStop+time.Duration(len(targets))*replaceEvery)
				targets = append(targets, s.Target)
			}
		}
		is.Equal(len(targets), 6)
		for _, pass := range [][]int{targets[:3], targets[3:]} {
			is.Equal(pass[0]+pass[1]+pass[2], 3)
			is.True(pass[0] != pass[1] && pass[1] != pass[2] && pass[0] != pass[2])
		}
	}
}

// In the profile Builds all daemons begin with the old build, in the others every second one
// if another build is named, and a daemon that is replaced gets the other one each time.
func TestBuildsOfDaemons(t *testing.T) {
	is := is.New(t)
	c := &cluster{options: Options{Chead: "present", Old: "old"}}
	is.Equal([]string{c.firstBuild(0), c.firstBuild(1)}, []string{"present", "old"})
	c.traits = Builds.traits()
	d := &daemon{proc: proc{command: []string{c.firstBuild(0), "edge"}}}
	var builds []string
	for range 3 {
		builds = append(builds, d.command[0])
		c.replaceBuild(d)
	}
	is.Equal(builds, []string{"old", "present", "old"})
	is.Equal(c.upgraded, 2)
	c.options.Old = ""
	is.Equal(c.firstBuild(1), "present")
}
