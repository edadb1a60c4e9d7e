package entry

import (
	"net/http"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
)

// job is one admitted request.
type job struct {
	id       string // the caller's request id, or one made here
	account  string
	settings conf.Account
	view     *view.View
	accepted time.Time
	deadline time.Time
	priority int
	path     string
	body     []byte
	print    string // fingerprint of account, path and body
	once     bool   // not repeatable
	key      string // under which it runs at most once
	at       time.Time
	size     int64 // of body, as counted in the daemon's room
	attempt  int   // 1, or more when the caller sends it again

	leave  func() // takes the job out of the daemon's room
	prompt prompt // of a completion
}

// late reports whether the deadline has passed.
func (j *job) late() bool { return !time.Now().Before(j.deadline) }

// outlived reports whether a job stayed here beyond the window in which its
// record is kept, by the clock on the wall: the monotonic one may stand still
// while an instance is suspended.
func (j *job) outlived() bool {
	age := time.Now().Round(0).Sub(j.accepted.Round(0))
	return age > time.Duration(j.view.Document.Limits.Window)
}

// maxTransit is the time that a request may take from its caller to a daemon.
const maxTransit = 5 * time.Second

// repeated reports whether the caller says, by the number of the attempt or the
// request's own time, that this is not its first attempt.
func (j *job) repeated() bool {
	return j.attempt > 1 || j.accepted.Sub(j.at) > maxTransit
}

// record names the job's at-most-once record among those of all accounts.
func (j *job) record() string { return j.account + "\x00" + j.key }

// maxID bounds the length of a request id, in bytes.
const maxID = 200

// identify reads the headers that every request may carry.
func (e *Entry) identify(j *job, r *http.Request) *Error {
	readers := []func(*job, http.Header) *Error{
		readID, readDeadline, readPriority, readTime, readAttempt, readRepeatable,
	}
	for _, read := range readers {
		if err := read(j, r.Header); err != nil {
			return err
		}
	}
	if j.id == "" {
		j.id = e.name()
	}
	if j.key == "" {
		j.key = j.id
	}
	return nil
}
