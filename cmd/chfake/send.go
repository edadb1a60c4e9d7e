package main

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
)

// backoff is the wait before a request is sent again where the answer names
// none.
const backoff = 200 * time.Millisecond

// end is what finally came of a request.
type end struct {
	request  request
	last     attempt
	attempts []attempt // before the last
}

// send sends a request until it is served, or refused in a way that rules out
// to send it again, or the tries are used up. A not-repeatable request is sent
// again under its key, so that the system may answer with what came of it.
func (s *sender) send(ctx context.Context, r request) end {
	e := end{request: r}
	for n := 1; ; n++ {
		e.last = s.try(ctx, r, n)
		if n == s.command.Tries || !e.last.again(r) || !clock.Sleep(ctx, e.last.retry) {
			return e
		}
		e.attempts = append(e.attempts, e.last)
	}
}

// final are the codes of refusals that another attempt can't change.
var final = map[string]bool{
	"suspect": true, "unsettled": true, "unkept": true, "expired": true,
}

func (a attempt) again(r request) bool {
	switch a.result {
	case served, wrong:
		return false
	case refused:
		return !final[a.code] && !(r.once && a.ran == "yes")
	default:
		return true
	}
}
