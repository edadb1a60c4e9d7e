package entry

import (
	"errors"
	"net/url"
	"strings"
)

var errPath = errors.New("a path segment is empty, a dot segment, or hides a separator")

// target is the destination that a path under /services/ names.
type target struct {
	service string
	path    string // sent to the service, escaped
}

// parseTarget parses an escaped path. It refuses paths that two parsers may
// read differently: those with dot segments, empty segments or escaped
// separators.
func parseTarget(escaped string) (target, error) {
	rest := strings.TrimPrefix(escaped, pathServices)
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	if err != nil || !unambiguous(service) {
		return target{}, errPath
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if segment == "" && i == len(segments)-1 {
			break
		}
		plain, err := url.PathUnescape(segment)
		if err != nil || !unambiguous(plain) {
			return target{}, errPath
		}
	}
	return target{service: service, path: "/" + path}, nil
}

// unambiguous reports whether an unescaped segment can be read in one way only.
func unambiguous(segment string) bool {
	if segment == "" || segment == "." || segment == ".." {
		return false
	}
	return !strings.ContainsAny(segment, "/\\%;\x00\r\n")
}
