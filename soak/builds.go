package soak

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Times of the plan of the profile Builds.
const replaceEvery = 11 * time.Second // between two stops: grace, downtime and time to be listed again

// planBuilds returns the faults of the profile Builds for a seed, sorted by time: daemons are
// stopped one after the other, each of them once in a pass, and beside that the faults of the
// profile Stops. Each stop starts the other build, so that the first pass upgrades all daemons
// and the second one rolls them back.
func planBuilds(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 3))
	var steps []Step
	var pass []int
	for at := firstStop; at < length; at += replaceEvery {
		if len(pass) == 0 {
			pass = r.Perm(daemons)
		}
		steps = append(steps, stopSteps(r, at, pass[0])...)
		pass = pass[1:]
		steps = append(steps, besideSteps(r, at-beforeStop, runners)...)
	}
	byTime(steps)
	return steps
}

// oldBuild returns the path of the old build of the daemons' program, which is that of the
// present one unless another was named.
func (o Options) oldBuild() string { return cmp.Or(o.Old, o.Chead) }

// firstBuild returns the path of the program that a daemon begins with: in Builds the old
// build, otherwise the old one for every second daemon.
func (c *cluster) firstBuild(daemon int) string {
	if c.traits.builds || daemon%2 == 1 {
		return c.options.oldBuild()
	}
	return c.options.Chead
}

// replaceBuild makes a daemon start with the other build from its next start on, if the profile
// replaces builds.
func (c *cluster) replaceBuild(d *daemon) {
	if !c.traits.builds {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.present = !d.present
	d.program(c.options.oldBuild())
	if d.present {
		d.program(c.options.Chead)
		c.upgraded++
	}
}
