package entry

// The headers of callers' requests and of answers.
const (
	headerRequest    = "X-Request-Id"
	headerRepeatable = "X-Repeatable"    // "no" or "yes"
	headerIdempotent = "Idempotency-Key" // makes a request not repeatable
	headerTime       = "X-Request-Time"  // the request's own time, RFC 3339
	headerAttempt    = "X-Attempt"       // 2 and more when a request is sent again
	headerDeadline   = "X-Deadline"      // RFC 3339 or a duration such as "2.5s"
	headerPriority   = "X-Priority"      // a whole number, higher goes first
	headerAccount    = "X-Account"       // to plain services: the client account
	headerRan        = "X-Ran"
	headerReplayed   = "X-Replayed" // "yes" on the kept answer of an earlier attempt
)
