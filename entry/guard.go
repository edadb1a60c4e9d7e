package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/once"
)

const (
	maxClaim  = 2 * time.Second  // for making a record
	maxForgo  = time.Second      // for giving a claim up, while the caller waits
	maxFinish = 20 * time.Second // for keeping an answer, behind the caller's back
)

// errReplayed is returned by guard where an earlier attempt's answer was sent.
var errReplayed = &Error{Op: "once", Kind: Replayed, Ran: engine.Yes}

// guard runs a not-repeatable job under a claim, so that it runs at most once,
// however often and through however many daemons it comes.
func (e *Entry) guard(ctx context.Context, j *job, w http.ResponseWriter, answer func() once.Answer, run func() *Error) *Error {
	claim, kept, err := e.claim(ctx, j)
	if err != nil {
		return err
	}
	if kept != nil {
		replay(w, *kept)
		return errReplayed
	}
	failed := run()
	switch {
	case failed == nil:
		record := answer()
		e.later(maxFinish, func(ctx context.Context) {
			_ = claim.Finish(ctx, record) // without it, later attempts hear that it may have run
		})
	case failed.Ran == engine.No:
		e.seen.remove(j.record())
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxForgo)
		defer cancel()
		_ = claim.Forgo(ctx) // the book tells the store later
	default:
		e.later(maxFinish, func(ctx context.Context) {
			_ = claim.Lose(ctx) // without it, later attempts hear it when the claim is old
		})
	}
	return failed
}

func (e *Entry) claim(ctx context.Context, j *job) (*once.Claim, *once.Answer, *Error) {
	ctx, cancel := context.WithTimeout(ctx, maxClaim)
	defer cancel()
	claim, kept, err := e.options.Once.Claim(ctx, once.Request{
		Account: j.account,
		Key:     j.key,
		Print:   j.print,
		At:      j.at,
	})
	e.watch(err)
	if err != nil {
		return nil, nil, e.unclaimed(j, err)
	}
	return claim, kept, nil
}

// watch logs when the store can't be asked for records any more, and when it
// can again.
func (e *Entry) watch(err error) {
	var fault *once.Error
	down := errors.As(err, &fault) && fault.Kind == once.Down
	if e.blind.Swap(down) == down {
		return
	}
	if down {
		e.options.Log.Info("not-repeatable requests are refused", "cause", err.Error())
	} else {
		e.options.Log.Info("not-repeatable requests are taken again")
	}
}

// unclaimed says what a claim that was not given means for the caller.
func (e *Entry) unclaimed(j *job, err error) *Error {
	var fault *once.Error
	errors.As(err, &fault)
	switch fault.Kind {
	case once.Pending:
		return &Error{Op: "once", Kind: Pending, Ran: engine.Unknown, Retry: defaultBack}
	case once.Unknown:
		return &Error{Op: "once", Kind: Unsettled, Ran: engine.Unknown}
	case once.Kept:
		return &Error{Op: "once", Kind: Unkept, Ran: engine.Yes}
	case once.Reused:
		return reject("once", Reused, nil)
	case once.Expired:
		return &Error{Op: "once", Kind: Expired, Ran: engine.Unknown}
	case once.Future:
		return reject("once", Expired, nil)
	default:
		down := reject("once", Records, err)
		down.Ran = e.truth(j, down)
		down.Retry = defaultBack
		return down
	}
}

// truth returns what may be said of a job that was refused before its record
// was looked at: an earlier attempt may have run.
func (e *Entry) truth(j *job, err *Error) engine.Ran {
	if j.once && err.Ran == engine.No && (j.repeated() || e.seen.has(j.record())) {
		return engine.Unknown
	}
	return err.Ran
}

// replay sends the answer of an earlier attempt.
func replay(w http.ResponseWriter, kept once.Answer) {
	writable(w)
	w.Header().Set("Content-Type", kept.Type)
	w.Header().Set(headerReplayed, "yes")
	w.WriteHeader(kept.Status)
	_, _ = w.Write(kept.Body) // the caller may be gone
}
