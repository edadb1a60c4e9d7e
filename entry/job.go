package entry

import (
	"net/http"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
)

// job is one admitted request.
type job struct {
	id          string // the caller's request id, or one generated here
	account     string
	settings    conf.Account
	view        *view.View
	accepted    time.Time
	deadline    time.Time
	priority    int
	path        string
	body        []byte
	fingerprint string    // hash of account, method, URI and body
	atMostOnce  bool      // not repeatable
	key         string    // the caller's key of the at-most-once record: the idempotency key or the id
	requestTime time.Time // when the caller made the request; time of acceptance where not given
	reserved    int64     // bytes of the daemon's capacity that are reserved for the body
	attempt     int       // number of the caller's attempt, from 1

	releaseCapacity func()     // releases what reserveCapacity reserved
	completion      completion // parameters, where the request is a completion
}

// expired reports whether the deadline has passed.
func (j *job) expired() bool { return !time.Now().Before(j.deadline) }

// recordsExpired reports whether a job has been at this daemon for longer than
// Limits.Window, the time for which at-most-once records are valid. It compares
// wall clock times, because the monotonic clock may stop while an instance is
// suspended.
func (j *job) recordsExpired() bool {
	age := time.Now().Round(0).Sub(j.accepted.Round(0))
	return age > time.Duration(j.view.Document.Limits.Window)
}

// maxTransit is the longest time that a request should take from its caller to
// a daemon.
const maxTransit = 5 * time.Second

// isRetry reports whether this is a later attempt of the caller, by its number
// or by the request's time.
func (j *job) isRetry() bool {
	return j.attempt > 1 || j.accepted.Sub(j.requestTime) > maxTransit
}

// recordKey returns the key of the job's record, unique across accounts.
func (j *job) recordKey() string { return j.account + "\x00" + j.key }

// maxIDLength bounds the length of a request id, in bytes.
const maxIDLength = 200

// readHeaders reads the headers that every request may have. A request without
// an id gets a new one.
func (e *Entry) readHeaders(j *job, r *http.Request) *Error {
	readers := []func(*job, http.Header) *Error{
		readID, readDeadline, readPriority, readTime, readAttempt, readRepeatable,
	}
	for _, read := range readers {
		if err := read(j, r.Header); err != nil {
			return err
		}
	}
	if j.id == "" {
		j.id = e.newID()
	}
	if j.key == "" {
		j.key = j.id
	}
	return nil
}
