package pick

import (
	"slices"
	"sort"
	"time"

	"clementinehead.example/chead/site"
)

// turns is the number of slots that go to waiting requests by their order, where callers
// compete, for each one that goes to the least urgent priority, which is so served however long the
// others keep coming.
const turns = 8

// order returns the waiting requests in the order in which they get slots: interrupted
// streams (Request.Resumed) first, then requests in time, then those of client accounts that
// are less far above what is due to them, then by Request.Priority, then those that their
// callers sent before (Request.Retried), then by arrival. The argument levels is nil where
// callers don't compete; otherwise each turns-th slot goes to the first request of the
// least urgent priority.
func (q *queue) order(now time.Time, levels func(account string) int) []*waiter {
	ordered := append([]*waiter(nil), q.waiting...)
	if levels != nil {
		for _, w := range ordered {
			w.level = levels(w.request.Account)
		}
	}
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].precedes(ordered[j], now) })
	if levels != nil && q.granted%turns == turns-1 {
		putFirst(ordered, oldestLeastUrgent(ordered))
	}
	return ordered
}

// precedes reports whether a request goes before another one that waits.
func (w *waiter) precedes(other *waiter, now time.Time) bool {
	if w.request.Resumed != other.request.Resumed {
		return w.request.Resumed
	}
	if inTime := now.Before(w.inTimeUntil); inTime != now.Before(other.inTimeUntil) {
		return inTime
	}
	if w.level != other.level {
		return w.level < other.level
	}
	if w.request.Priority != other.request.Priority {
		return w.request.Priority < other.request.Priority
	}
	return w.request.Retried && !other.request.Retried
}

// oldestLeastUrgent returns the first request of the least urgent priority in an order, or
// nil if the first one has it. Interrupted streams don't count.
func oldestLeastUrgent(ordered []*waiter) *waiter {
	var first, found *waiter
	for _, w := range ordered {
		switch {
		case w.request.Resumed:
		case first == nil:
			first, found = w, w
		case w.request.Priority > found.request.Priority:
			found = w
		}
	}
	if found == first {
		return nil
	}
	return found
}

// putFirst moves a request to the front, behind interrupted streams. It may be nil.
func putFirst(ordered []*waiter, w *waiter) {
	at := slices.Index(ordered, w)
	for at > 0 && !ordered[at-1].request.Resumed {
		ordered[at], ordered[at-1] = ordered[at-1], ordered[at]
		at--
	}
}

// competes reports whether the callers of a service compete for it: the configuration has
// client accounts, and ranks its routes.
func (p *Placer) competes(service string) bool {
	c := p.options.Snapshot().Config
	if c == nil || service == "" {
		return false
	}
	if p.ranks.config != c {
		p.ranks = ranks{config: c, ranked: map[string]bool{}}
	}
	ranked, known := p.ranks.ranked[service]
	if !known {
		ranked = len(c.Accounts) > 0 && c.Ranks(service)
		p.ranks.ranked[service] = ranked
	}
	return ranked
}

// ranks is for which services callers compete by a configuration. It is kept, since a
// configuration may have thousands of routes.
type ranks struct {
	config *site.Config
	ranked map[string]bool
}

// levels returns the function that tells how far an account is above what is due to it, or
// nil if the callers of a queue don't compete.
func (p *Placer) levels(q *queue) func(account string) int {
	if len(q.waiting) == 0 || !p.competes(q.service) {
		return nil
	}
	return p.usage.Levels(p.options.Boot())
}

// addCompetition adds to the state of a queue how far the account of a request is above what
// is due to it.
func (p *Placer) addCompetition(state *QueueState, request Request, q *queue) {
	if p.competes(q.service) {
		state.Level = p.usage.Levels(p.options.Boot())(request.Account)
	}
}

// charge adds the work of a request that got its first slot to that of its account, if
// callers compete.
func (p *Placer) charge(request Request, q *queue) {
	if request.Account == "" || len(request.Avoid) > 0 || !p.competes(request.Service) {
		return
	}
	p.usage.Add(p.options.Boot(), request.Account, p.work(request, q))
}

// work returns the endpoints' time that a request is expected to take. For a plain service
// it is the mean time of its requests.
func (p *Placer) work(request Request, q *queue) time.Duration {
	service, _ := p.service(request.Service)
	if service.Engine == nil {
		return seconds(q.holdSeconds)
	}
	model, _ := service.Engine.Model(request.Model)
	answer := request.AnswerTokens
	if answer <= 0 {
		answer = int(service.Engine.Answer)
	}
	return service.Engine.Work(model, request.PromptTokens, answer)
}
