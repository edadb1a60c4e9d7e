package soak

import "time"

// Paths of the requests, one for each kind of route. The probe has its own.
const (
	talkPath = "/talk/" // streams, which may be resumed
	tellPath = "/tell/" // streams, which may run once
	filePath = "/file/" // plain calls that may run once
	readPath = "/read/" // plain calls that may be repeated
)

// route is what the soak knows of a route in simul.Config.
type route struct {
	stream   bool
	once     bool // may run once
	attempts int  // max_attempts
	timeout  time.Duration
}

const (
	streamTimeout = 8 * time.Second
	plainTimeout  = 2 * time.Second
)

// routes holds the routes of the callers' requests, by path.
var routes = map[string]route{
	talkPath: {stream: true, attempts: 2, timeout: streamTimeout},
	tellPath: {stream: true, once: true, attempts: 2, timeout: streamTimeout},
	filePath: {once: true, attempts: 1, timeout: plainTimeout},
	readPath: {attempts: 2, timeout: plainTimeout},
}
