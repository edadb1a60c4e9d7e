package reach

import "time"

// Evidence is why a daemon goes on though no endpoint that was asked answered in time. The
// line comments are the names in the log and the metrics.
type Evidence int

// The kinds of evidence.
const (
	None  Evidence = iota // none
	Open                  // open connections
	Alone                 // no other daemon reaches endpoints
	Many                  // most others are cut off
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Evidence -linecomment -output=evidence_string.go

// Others says how many other daemons that accept requests of this one reach endpoints, and
// how many of those heard are cut off or go on without having heard of an endpoint.
type Others struct{ Reach, Cut int }

// Evidence returns why this daemon goes on, None unless the state is Slow. It waits for no
// lock.
func (r *Reach) Evidence() Evidence { return Evidence(r.evidence.Load()) }

// Blind reports whether this daemon goes on without having heard of an endpoint: its path
// may be cut, but no better one is known.
func (r *Reach) Blind() bool { return r.State() == Slow && r.Evidence() != Open }

// weigh returns the evidence that endpoints are slow rather than the path cut, after a round
// that none answered. Connections that all are refused aren't slow, whatever open ones do,
// as a path may refuse new connections alone. That most others are cut off as well says
// little once nothing came for long, if there is one that isn't. The lock must be held.
func (r *Reach) weigh(got round) Evidence {
	refused := got.refused >= min(probed, got.asked) // if so, others were asked too
	others := r.others()
	heard := max(r.reached, time.Duration(r.heard.Load()))
	switch {
	case !refused && heard > got.began:
		return Open
	case others.Reach == 0:
		return Alone
	case !refused && others.Cut > others.Reach && r.options.Boot()-heard < muteLimit:
		return Many
	}
	return None
}

// isAlone reports whether no other daemon has reached endpoints for aloneTime, by all calls
// since the state was set. The lock must be held.
func (r *Reach) isAlone() bool {
	now := r.options.Boot()
	switch {
	case r.others().Reach > 0:
		r.alone = 0
	case r.alone == 0:
		r.alone = now
	}
	return r.alone > 0 && now-r.alone >= aloneTime
}

// others returns what other daemons say of their paths.
func (r *Reach) others() Others {
	if r.options.Others == nil {
		return Others{Reach: 1}
	}
	return r.options.Others()
}
