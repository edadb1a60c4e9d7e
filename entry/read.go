package entry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

var (
	errRepeated = errors.New("given more than once")
	errText     = errors.New("not 1 to 200 printable ASCII characters")
	errNumber   = errors.New("not a whole number above 0")
	errMoment   = errors.New("neither an RFC 3339 time nor a positive duration")
	errNoYes    = errors.New(`neither "yes" nor "no"`)
)

// single returns the value of a header that may be given once.
func single(h http.Header, name string) (string, *Error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", badHeader(name, errRepeated)
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

func badHeader(name string, err error) *Error {
	return reject("admit", BadHeader, fmt.Errorf("%s: %w", name, err))
}

// name reads a header that holds an id.
func readName(h http.Header, header string) (string, *Error) {
	value, err := single(h, header)
	if err != nil {
		return "", err
	}
	if len(value) > maxID || !printable(value) {
		return "", badHeader(header, errText)
	}
	return value, nil
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func readID(j *job, h http.Header) *Error {
	id, err := readName(h, headerRequest)
	j.id = id
	return err
}

// readDeadline takes the earlier one of the caller's deadline and the limit on
// every request.
func readDeadline(j *job, h http.Header) *Error {
	j.deadline = j.accepted.Add(time.Duration(j.view.Document.Limits.Request))
	value, err := single(h, headerDeadline)
	if err != nil || value == "" {
		return err
	}
	asked, ok := moment(value, j.accepted)
	if !ok {
		return badHeader(headerDeadline, errMoment)
	}
	if asked.Before(j.deadline) {
		j.deadline = asked
	}
	return nil
}

// moment reads a time, or a duration from now on.
func moment(value string, now time.Time) (time.Time, bool) {
	if d, err := time.ParseDuration(value); err == nil && d > 0 {
		return now.Add(d), true
	}
	t, err := time.Parse(time.RFC3339Nano, value)
	return t, err == nil
}

func readPriority(j *job, h http.Header) *Error {
	value, err := single(h, headerPriority)
	if err != nil || value == "" {
		return err
	}
	priority, failed := strconv.Atoi(value)
	if failed != nil {
		return badHeader(headerPriority, errNumber)
	}
	j.priority = min(priority, j.settings.Priority)
	return nil
}

func readTime(j *job, h http.Header) *Error {
	j.at = j.accepted
	value, err := single(h, headerTime)
	if err != nil || value == "" {
		return err
	}
	at, failed := time.Parse(time.RFC3339Nano, value)
	if failed != nil {
		return badHeader(headerTime, failed)
	}
	j.at = at
	return nil
}

func readAttempt(j *job, h http.Header) *Error {
	j.attempt = 1
	value, err := single(h, headerAttempt)
	if err != nil || value == "" {
		return err
	}
	attempt, failed := strconv.Atoi(value)
	if failed != nil || attempt < 1 {
		return badHeader(headerAttempt, errNumber)
	}
	j.attempt = attempt
	return nil
}

// readRepeatable settles whether the request runs at most once. An idempotency
// key marks it so, and is the key of its record.
func readRepeatable(j *job, h http.Header) *Error {
	key, err := readName(h, headerIdempotent)
	if err != nil {
		return err
	}
	value, err := single(h, headerRepeatable)
	if err != nil {
		return err
	}
	switch value {
	case "":
		j.once = j.once || key != ""
	case "no":
		j.once = true
	case "yes":
		j.once = false
	default:
		return badHeader(headerRepeatable, errNoYes)
	}
	j.key = key
	return nil
}
