package main

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
)

// backoff is the wait before a request is sent again if the answer names none.
const backoff = 200 * time.Millisecond

// exchange is a request with the outcomes of all attempts to send it.
type exchange struct {
	request request
	last    attempt
	earlier []attempt // attempts before the last one
}

// send sends a request until it is served, is refused permanently, or the attempts
// are used up. A non-repeatable request is sent again under the same idempotency
// key, so that the system can answer with the outcome of the earlier attempt.
func (s *sender) send(ctx context.Context, r request) exchange {
	e := exchange{request: r}
	for n := 1; ; n++ {
		e.last = s.try(ctx, r, n)
		if n == s.command.Tries || !e.last.retryable(r) || !clock.Sleep(ctx, e.last.retry) {
			return e
		}
		e.earlier = append(e.earlier, e.last)
	}
}

// permanent holds the codes of refusals that another attempt cannot change.
var permanent = map[string]bool{
	"suspect": true, "unsettled": true, "unkept": true, "expired": true,
}

// retryable reports whether the request may be sent again after this attempt.
func (a attempt) retryable(r request) bool {
	switch a.result {
	case served, wrongAnswer:
		return false
	case refused:
		return !permanent[a.code] && !(r.once && a.ran == "yes")
	default:
		return true
	}
}
