package soak

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"clementinehead.example/chead/simul"
)

// passedOn is what a daemon did for a request: it sent it to a runner, which may have
// refused it or ended before it read it.
const passedOn simul.Deed = "passed on"

// passedOn reports whether a daemon passed the request on to a runner.
func (e evidence) passedOn() bool {
	return slices.ContainsFunc(e.acts, func(a simul.Act) bool { return a.Deed == passedOn || a.Deed == simul.Ran })
}

// evidence is what the soak knows of a request beside its record.
type evidence struct {
	cluster *cluster
	acts    []simul.Act // of runners, for this request, by time
}

// newEvidence returns the evidence of a request. The caller holds the cluster's lock.
func newEvidence(c *cluster, id string) evidence {
	acts := slices.Clone(c.acts[id]) // which came from several processes
	slices.SortStableFunc(acts, func(a, b simul.Act) int { return cmp.Compare(a.At, b.At) })
	return evidence{cluster: c, acts: acts}
}

// run is one run of a request by a runner.
type run struct {
	runner string
	began  time.Time
	ended  time.Time // zero if the end was not seen
	broke  bool      // the runner broke off its answer
	status int       // of the runner's answer, 0 if there was none
	lost   bool      // the runner lost the answer
}

// failed reports whether the runner broke off or answered with a failure.
func (r run) failed() bool { return r.broke || r.status >= http.StatusInternalServerError }

// runs returns the runs of the request, in the order in which they began.
func (e evidence) runs() []run {
	var runs []run
	for _, a := range e.acts {
		if a.Deed == simul.Ran {
			runs = append(runs, run{runner: a.Runner, began: a.Time()})
			continue
		}
		i := slices.IndexFunc(runs, func(r run) bool { return r.runner == a.Runner && r.ended.IsZero() })
		if i < 0 {
			continue // the runner refused it, or answered twice
		}
		switch a.Deed {
		case simul.Broke:
			runs[i].broke = true
		case simul.Gave:
			if runs[i].status == 0 { // of the first answer; a second one may follow
				runs[i].status = a.Status
			}
		case simul.Lost:
			runs[i].lost = true
		case simul.Ended:
			runs[i].ended = a.Time()
		}
	}
	return runs
}
