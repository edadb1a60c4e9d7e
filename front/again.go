package front

// hurdle is why a request is not sent again. The comments are the names in log
// lines.
type hurdle int

const (
	allowed    hurdle = iota // allowed
	callerLeft               // caller left
	noTime                   // too little time left
	manyTries                // too many endpoints tried
	runsOnce                 // may not be repeated
	noAttempts               // route's attempts used up
	noBudget                 // budget of repeats used up
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=hurdle -linecomment -output=hurdle_string.go

// again decides whether a request is sent once more: allowed, or what is in the
// way.
func (f *Front) again(j *job, got result) hurdle {
	switch {
	case got == left:
		return callerLeft
	case j.left() < leastLeft:
		return noTime
	case len(j.tried) >= mostSends:
		return manyTries
	case got != unrun && !j.route.Repeatable():
		return runsOnce
	case got != unrun && j.ran >= j.route.Attempts:
		return noAttempts
	case j.sends == 0: // only what reached an endpoint counts as sent once
		return allowed
	}
	j.budget = f.options.Desk.Spend(j.service)
	if !j.budget.OK {
		return noBudget
	}
	return allowed
}
