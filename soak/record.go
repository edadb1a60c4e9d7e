package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"clementinehead.example/chead/simul"
)

// ending is how the exchange of a request ended.
type ending int

const (
	answered  ending = iota // by an answer, whole as far as the protocol shows
	unsent                  // there was no connection
	closed                  // the connection was closed
	reset                   // the connection was reset
	timedOut                // the caller gave up
	malformed               // by bytes that are no answer
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=ending -output=ending_string.go

// record is one request of a caller and its result.
type record struct {
	id         string
	path       string
	key        string
	prompt     string // parts of its prompt, for a stream of the profile Crashes
	crashes    bool   // it crashes endpoints
	daemon     int
	deadline   time.Duration
	size       int  // bytes of its body, if its caller reads slowly
	kept       bool // sent by a caller that stays with its daemon, not through a Path
	sent       time.Time
	written    time.Time // when the last byte had been sent, zero if it was not
	ended      time.Time
	ending     ending
	status     int // 0 if there was no answer
	body       string
	echo       string // the answer's X-Request-Id
	signature  string
	retryAfter time.Duration // the retry delay that the answer asks for
	err        error
}

// cut reports whether an answer began and its body ended early.
func (r record) cut() bool { return r.status != 0 && r.ending != answered }

// served reports whether the request got a whole success.
func (r record) served() bool { return r.status == http.StatusOK && r.ending == answered }

// limit returns the time in which the request has to end: the caller's deadline or
// the route's timeout.
func (r record) limit() time.Duration {
	if known, found := routes[r.path]; found {
		return min(r.deadline, known.timeout)
	}
	return plainTimeout // of the probe's routes
}

// read fills in the answer, and how reading its body ended.
func (r *record) read(response *http.Response) {
	if r.size > 0 {
		time.Sleep(min(slowPause, time.Until(r.sent.Add(r.limit())))) // a cut at the limit must be seen
	}
	body, err := io.ReadAll(response.Body)
	r.status = response.StatusCode
	r.body = simul.Unpad(string(body), r.size)
	r.echo = response.Header.Get("X-Request-Id")
	r.signature = simul.Signature(response)
	r.end(err)
}

// end fills in how the exchange ended, by the error of the connection or the
// protocol.
func (r *record) end(err error) {
	var network net.Error
	var dial *net.OpError
	r.err = err
	switch {
	case err == nil:
		r.ending = answered
	case errors.As(err, &dial) && dial.Op == "dial":
		r.ending = unsent
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		r.ending = reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), strings.Contains(err.Error(), "server closed idle connection"):
		r.ending = closed
	case errors.As(err, &network) && network.Timeout():
		r.ending = timedOut
	default:
		r.ending = malformed
	}
}
