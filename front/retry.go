package front

// hurdle is allowed, or the reason why a retry is denied. The line comments are
// the names in the log.
type hurdle int

const (
	allowed       hurdle = iota // allowed
	callerGone                  // caller left
	noTime                      // too little time left
	noTries                     // too many endpoints tried
	notRepeatable               // may not be repeated
	noAttempts                  // route's attempts used up
	noBudget                    // budget of repeats used up
	noSlot                      // no free slot elsewhere
	viewTooOld                  // view too old
	stopping                    // daemon stops
	partRefused                 // a part of its prompt crashes endpoints
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=hurdle -linecomment -output=hurdle_string.go

// checkRetry returns allowed if a request may be retried after a try with the
// given result, or the reason why it may not.
func (f *Front) checkRetry(j *job, got result) hurdle {
	all, ran := j.tries.counts()
	switch {
	case got == disconnected || j.outlet.hasFailed() || j.left():
		return callerGone
	case f.reached(ending):
		return stopping
	case j.remaining() < minRemaining:
		return noTime
	case all >= maxTries:
		return noTries
	case got != notRun && !j.route.Repeatable():
		return notRepeatable
	case got != notRun && ran >= j.route.Attempts:
		return noAttempts
	case f.options.Parts.Refused(j.parts) != "":
		return partRefused
	case j.progress.sends.Load() == 0: // a retry uses the budget only after a send that got a connection
		return allowed
	}
	j.retry = f.options.Placer.AllowRetry(j.service)
	if !j.retry.Allowed {
		return noBudget
	}
	return allowed
}
