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
	errName     = errors.New("not 1 to 200 printable ASCII characters")
	errNumber   = errors.New("not a whole number above 0")
	errDeadline = errors.New("neither an RFC 3339 time nor a positive duration")
	errNoYes    = errors.New(`neither "yes" nor "no"`)
)

// single returns the value of a header that may be given at most once, or "" if
// it is absent. Callers treat an empty value as an absent one.
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

// readName reads a header that contains an id, without spaces. An empty value
// counts as absent.
func readName(h http.Header, header string) (string, *Error) {
	value, err := single(h, header)
	if err != nil {
		return "", err
	}
	if len(value) > maxIDLength || !printable(value) {
		return "", badHeader(header, errName)
	}
	return value, nil
}

// printable reports whether all characters are printable ASCII other than
// space.
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

// readDeadline sets the deadline to the earlier one of the caller's and the
// limit on all requests.
func readDeadline(j *job, h http.Header) *Error {
	j.deadline = j.accepted.Add(time.Duration(j.view.Document.Limits.Request))
	value, err := single(h, headerDeadline)
	if err != nil || value == "" {
		return err
	}
	requested, ok := parseDeadline(value, j.accepted)
	if !ok {
		return badHeader(headerDeadline, errDeadline)
	}
	if requested.Before(j.deadline) {
		j.deadline = requested
	}
	return nil
}

// parseDeadline parses a time, or a positive duration from now on.
func parseDeadline(value string, now time.Time) (time.Time, bool) {
	if d, err := time.ParseDuration(value); err == nil && d > 0 {
		return now.Add(d), true
	}
	t, err := time.Parse(time.RFC3339Nano, value)
	return t, err == nil
}

// readPriority sets the priority, which the account's settings bound. It accepts
// any integer, although the text of errNumber says "above 0".
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
	j.requestTime = j.accepted
	value, err := single(h, headerTime)
	if err != nil || value == "" {
		return err
	}
	at, failed := time.Parse(time.RFC3339Nano, value)
	if failed != nil {
		return badHeader(headerTime, failed)
	}
	j.requestTime = at
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

// readRepeatable sets whether the request runs at most once. An idempotency key
// implies that it does, unless the header X-Repeatable says "yes", and is the key
// of its record. Without one, the request id is the key.
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
		j.atMostOnce = j.atMostOnce || key != ""
	case "no":
		j.atMostOnce = true
	case "yes":
		j.atMostOnce = false
	default:
		return badHeader(headerRepeatable, errNoYes)
	}
	j.key = key
	return nil
}
