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
	claimTimeout        = 2 * time.Second  // for creating a record
	claimReleaseTimeout = time.Second      // for giving up a claim, while the caller waits
	finishTimeout       = 20 * time.Second // for recording an answer or its loss, in the background
)

// errReplayed is returned by runOnce where the answer of an earlier attempt was
// sent.
var errReplayed = &Error{Op: "once", Kind: Replayed, Ran: engine.Yes}

// runOnce runs a job that isn't repeatable under a claim on its record, so that
// it runs at most once, however often and through however many daemons it is
// sent.
func (e *Entry) runOnce(ctx context.Context, j *job, w http.ResponseWriter, answer func() once.Answer, run func() *Error) *Error {
	claim, earlier, err := e.claim(ctx, j)
	if err != nil {
		return err
	}
	if earlier != nil {
		replay(w, *earlier)
		return errReplayed
	}
	failed := run()
	switch {
	case failed == nil:
		record := answer()
		e.runBackground(finishTimeout, func(ctx context.Context) {
			_ = claim.Finish(ctx, record) // on failure, later attempts are refused because it may have run
		})
	case failed.Ran == engine.No:
		e.dispatched.remove(j.recordKey())
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimReleaseTimeout)
		defer cancel()
		_ = claim.Release(ctx) // on failure, once.Ledger writes it to the store later
	default:
		e.runBackground(finishTimeout, func(ctx context.Context) {
			_ = claim.MarkLost(ctx) // on failure, later attempts are refused for it only once the claim is old
		})
	}
	return failed
}

// claim claims a job's record, or returns the answer of an earlier attempt.
func (e *Entry) claim(ctx context.Context, j *job) (*once.Claim, *once.Answer, *Error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, earlier, err := e.options.Records.Claim(ctx, once.Request{
		Account:     j.account,
		Key:         j.key,
		Fingerprint: j.fingerprint,
		Time:        j.requestTime,
	})
	e.logRecordsDown(err)
	if err != nil {
		return nil, nil, e.claimError(j, err)
	}
	return claim, earlier, nil
}

// logRecordsDown logs when the store of records becomes unreachable, and when
// it is reachable again.
func (e *Entry) logRecordsDown(err error) {
	var fault *once.Error
	down := errors.As(err, &fault) && fault.Kind == once.Down
	if e.recordsDown.Swap(down) == down {
		return
	}
	if down {
		e.options.Log.Info("not-repeatable requests are refused", "cause", err.Error())
	} else {
		e.options.Log.Info("not-repeatable requests are accepted again")
	}
}

// claimError returns the caller's error for a claim that was not granted.
func (e *Entry) claimError(j *job, err error) *Error {
	var fault *once.Error
	errors.As(err, &fault)
	switch fault.Kind {
	case once.Pending:
		return &Error{Op: "once", Kind: Pending, Ran: engine.Unknown, Retry: defaultRetryAfter}
	case once.Unknown:
		return &Error{Op: "once", Kind: OutcomeUnknown, Ran: engine.Unknown}
	case once.NotStored:
		return &Error{Op: "once", Kind: AnswerNotKept, Ran: engine.Yes}
	case once.Reused:
		return reject("once", Reused, nil)
	case once.Expired:
		return &Error{Op: "once", Kind: Expired, Ran: engine.Unknown}
	case once.Future:
		return reject("once", Expired, nil)
	default:
		down := reject("once", RecordsUnavailable, err)
		down.Ran = e.ranSoFar(j, down)
		down.Retry = defaultRetryAfter
		return down
	}
}

// ranSoFar returns whether a job that was refused before its record was read
// may have run, in this or an earlier attempt.
func (e *Entry) ranSoFar(j *job, err *Error) engine.Ran {
	if j.atMostOnce && err.Ran == engine.No && (j.isRetry() || e.dispatched.has(j.recordKey())) {
		return engine.Unknown
	}
	return err.Ran
}

// replay sends the recorded answer of an earlier attempt.
func replay(w http.ResponseWriter, earlier once.Answer) {
	setWriteDeadline(w)
	w.Header().Set("Content-Type", earlier.Type)
	w.Header().Set(headerReplayed, "yes")
	w.WriteHeader(earlier.Status)
	_, _ = w.Write(earlier.Body) // the caller may have disconnected
}
