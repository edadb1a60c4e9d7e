package gate

import (
	"time"

	"golang.org/x/time/rate"

	"clementinehead.example/chead/conf"
)

// quota holds the rate limits of client accounts. The configuration gives an
// account's rate for the whole system. A gate allows its replica's share of it,
// and a daemon whose request is throttled at one replica tries the next.
type quota struct {
	limiters map[string]*rate.Limiter
}

func newQuota() quota { return quota{limiters: map[string]*rate.Limiter{}} }

// allow counts one request against an account's rate limit at one replica. It
// returns 0 if the request may pass, otherwise the time after which a request of
// the account may pass. The argument share is the fraction of the account's rate
// and burst that this replica may use.
func (q *quota) allow(now time.Time, name string, account conf.Account, share float64) time.Duration {
	if account.Rate <= 0 {
		return 0
	}
	limiter := q.limiter(now, name, account, share)
	if limiter.AllowN(now, 1) {
		return 0
	}
	missing := 1 - limiter.TokensAt(now)
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// limiter returns an account's limiter, set to the fraction share of its rate
// and burst. The burst is at least 1.
func (q *quota) limiter(now time.Time, name string, account conf.Account, share float64) *rate.Limiter {
	limit := rate.Limit(account.Rate * share)
	burst := max(1, int(float64(account.Burst)*share))
	limiter, ok := q.limiters[name]
	if !ok {
		limiter = rate.NewLimiter(limit, burst)
		q.limiters[name] = limiter
	}
	if limiter.Limit() != limit {
		limiter.SetLimitAt(now, limit)
	}
	if limiter.Burst() != burst {
		limiter.SetBurstAt(now, burst)
	}
	return limiter
}
