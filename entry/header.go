package entry

// Headers of callers' requests, of answers, and of calls to plain services.
const (
	headerRequest    = "X-Request-Id"
	headerRepeatable = "X-Repeatable"    // "no" or "yes"
	headerIdempotent = "Idempotency-Key" // its presence makes a request not repeatable, unless X-Repeatable is "yes"
	headerTime       = "X-Request-Time"  // time at which the caller made the request, RFC 3339
	headerAttempt    = "X-Attempt"       // number of the caller's attempt, 2 and more when a request is sent again; 1 where absent
	headerDeadline   = "X-Deadline"      // time at which the caller stops waiting: RFC 3339, or a duration such as "2.5s" from acceptance
	headerPriority   = "X-Priority"      // whole number; higher goes first
	headerAccount    = "X-Account"       // to plain services: the client account
	headerRan        = "X-Ran"           // "no", "unknown" or "yes": whether the request has run
	headerReplayed   = "X-Replayed"      // "yes" on the recorded answer of an earlier attempt
)
