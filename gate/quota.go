package gate

import (
	"time"

	"golang.org/x/time/rate"

	"clementinehead.example/chead/conf"
)

// quota holds the rate limits of client accounts. The configuration gives an
// account's rate for the whole system; a gate allows its replica's part, and
// an entry that is throttled at one replica tries the next.
type quota struct {
	limiters map[string]*rate.Limiter
}

func newQuota() quota { return quota{limiters: map[string]*rate.Limiter{}} }

// allow takes one request from an account's rate. It returns the time until
// one may come again, 0 when this one may pass.
func (q *quota) allow(now time.Time, name string, account conf.Account, part float64) time.Duration {
	if account.Rate <= 0 {
		return 0
	}
	limiter := q.limiter(now, name, account, part)
	if limiter.AllowN(now, 1) {
		return 0
	}
	lack := 1 - limiter.TokensAt(now)
	return time.Duration(lack / float64(limiter.Limit()) * float64(time.Second))
}

func (q *quota) limiter(now time.Time, name string, account conf.Account, part float64) *rate.Limiter {
	limit := rate.Limit(account.Rate * part)
	burst := max(1, int(float64(account.Burst)*part))
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
