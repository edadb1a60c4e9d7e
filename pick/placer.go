package pick

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/fair"
	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// Options configure a Placer.
type Options struct {
	Domain   string               // this daemon's failure domain
	Boot     func() time.Duration // boot clock
	Snapshot func() *watch.Snapshot
	Alive    func() []gossip.Message                 // newest message of each other daemon that is alive
	Delay    func() time.Duration                    // mean time until the load of another daemon is known here
	Budget   func() Budget                           // current budget of each service; only its Extra is for all daemons together
	Daemons  func() int                              // daemons that share Budget.Extra and the rate of a cold endpoint, whether heard or not
	Listed   func() int                              // daemons that may serve, whether heard or not
	Reached  func() bool                             // whether this daemon has no doubt that it reaches endpoints
	Late     func(since time.Duration) time.Duration // longest time for which this process ran late since a reading of the boot clock
	CutOff   func() bool                             // whether this daemon is cut off from endpoints
	Peers    func() []site.Daemon                    // other daemons that requests may be sent through
	Random   func() float64                          // returns random numbers in [0, 1)
	Log      logr.Logger
}

// Placer assigns requests to slots at endpoints, and queues them while none is free.
// Use New to make one; its methods may be called concurrently.
type Placer struct {
	options    Options
	mu         sync.Mutex
	endpoints  map[string]*endpointState
	queues     map[string]*queue
	peers      map[string]*endpointState // daemons that requests were sent through, by ID
	relayed    *queue                    // of the requests that are sent through other daemons; none waits in it
	budgets    map[string]*Budget
	leaving    map[string]leaving // endpoints that stated that they leave
	cache      servingCache
	ranks      ranks
	usage      *fair.Usage             // of client accounts that compete
	announced  map[string]gossip.Group // groups that the keeper announced, by the endpoint that leads them
	progressed time.Time               // when an endpoint last made progress with a request of this daemon
	heard      int                     // daemons heard at the latest Update, with this one
	listed     int                     // the same with those that are only listed
}

// Request is a request that needs a slot.
type Request struct {
	Service      string
	Model        string // empty for a plain service
	Account      string // name of the client account, empty if none is needed
	PromptTokens int
	AnswerTokens int             // that are expected, 0 if the caller states none
	MaxAnswer    int             // the most that may be written, 0 if the caller states none
	Priority     int             // 0 is the most urgent
	MaxWait      time.Duration   // longest wait for a slot
	Remaining    time.Duration   // remaining time of its latency target; negative if it has passed
	Retried      bool            // whether its caller sent it before, as it may after a refusal
	Begun        bool            // whether it may have run, so that to refuse it is to fail it
	Resumed      bool            // whether its caller has received a part of the stream already
	Avoid        map[string]bool // endpoints, and daemons that it was sent through, at which it failed
	Relayed      bool            // whether another daemon sent it here, so that it goes through none
	Outdated     bool            // whether this daemon's configuration is too old for it, so that it goes through another one
}

func (r Request) key() string { return r.Service + "/" + r.Model }

// New returns a Placer with no request in progress.
func New(o Options) *Placer {
	return &Placer{
		options: o, endpoints: map[string]*endpointState{}, queues: map[string]*queue{},
		peers: map[string]*endpointState{}, relayed: &queue{},
		budgets: map[string]*Budget{}, leaving: map[string]leaving{}, announced: map[string]gossip.Group{},
		usage: fair.New(o.Boot()), heard: 1, listed: 1,
	}
}

// Acquire returns a slot for a request, after a wait if none is free. The error
// is an *Error, and means that the request has not run.
func (p *Placer) Acquire(ctx context.Context, request Request) (*Slot, error) {
	began := time.Now()
	p.mu.Lock()
	q := p.queue(request.key())
	q.service = request.Service
	cut := p.cutOffFor(request)
	if !request.Retried && len(request.Avoid) == 0 && !cut {
		q.arrivals.add(began) // one that is sent through another daemon arrives there
	}
	state := q.state(request, began)
	if p.tooLarge(request) {
		p.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: TooLarge, State: state}
	}
	if !q.hasInTime(began) || request.Resumed || cut || p.tokens(request) > 0 {
		if slot := p.tryAcquire(request, q, began); slot != nil {
			p.mu.Unlock()
			return slot, nil
		}
	}
	if cut && !request.Begun && !request.Resumed {
		p.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: CutOff, RetryAfter: minRetryAfter, State: state}
	}
	endpoints := p.eligible(request)
	eligible := len(endpoints)
	p.addLimits(&state, endpoints, q, began)
	p.addCompetition(&state, request, q)
	decision := Admit(state)
	if !decision.Wait {
		p.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: Full, RetryAfter: decision.RetryAfter, State: state, Eligible: eligible}
	}
	w := &waiter{request: request, slot: make(chan *Slot, 1), inTimeUntil: began.Add(state.Slack)}
	q.waiting = append(q.waiting, w)
	p.mu.Unlock()
	return p.await(ctx, q, w, began, state)
}

// await waits for the slot of a queued request, until the request's longest wait or
// the context ends. A closed channel means that rejectLate refused the request.
func (p *Placer) await(ctx context.Context, q *queue, w *waiter, began time.Time, state QueueState) (*Slot, error) {
	timer := time.NewTimer(w.request.MaxWait)
	defer timer.Stop()
	kind := Late
	select {
	case slot, granted := <-w.slot:
		if granted {
			return slot, nil
		}
		return nil, &Error{Op: "acquire", Kind: Full, RetryAfter: maxRetryAfter / 2, State: state, Waited: time.Since(began)}
	case <-timer.C:
	case <-ctx.Done():
		kind = Disconnected
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case slot, granted := <-w.slot:
		if granted && kind == Late {
			return slot, nil
		}
		if granted {
			p.release(slot, time.Now())
		}
	default:
		q.remove(w)
	}
	eligible := len(p.eligible(w.request))
	if eligible == 0 && kind == Late {
		kind = NoEndpoint
	}
	return nil, &Error{Op: "acquire", Kind: kind, RetryAfter: maxRetryAfter / 2, State: state, Eligible: eligible, Waited: time.Since(began)}
}

// Dispatch assigns free slots to waiting requests, and refuses late ones that won't
// get a slot. It is to be called after a change that may have freed slots.
func (p *Placer) Dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(time.Now())
}

// dispatch is Dispatch for a caller that holds the lock.
func (p *Placer) dispatch(now time.Time) {
	for _, q := range p.queues {
		p.dispatchQueue(q, now)
		q.rejectLate(now)
	}
}

// dispatchQueue assigns free slots to the requests of a queue in their order. It ends
// at the first request that gets none, unless that request avoids endpoints or may lack
// memory there: the next may get a slot at one of these.
func (p *Placer) dispatchQueue(q *queue, now time.Time) {
	for p.dispatchTurn(q, now) {
	}
}

// dispatchTurn is dispatchQueue until the order changes by a turn (see order). It reports
// whether it has.
func (p *Placer) dispatchTurn(q *queue, now time.Time) bool {
	levels := p.levels(q)
	for _, w := range q.order(now, levels) {
		slot := p.tryAcquire(w.request, q, now)
		if slot == nil && len(w.request.Avoid) == 0 && p.tokens(w.request) == 0 {
			return false
		}
		if slot != nil {
			q.remove(w)
			q.granted++
			w.slot <- slot
			if levels != nil && q.granted%turns <= 1 {
				return true
			}
		}
	}
	return false
}

// tryAcquire returns a slot that is free now, or nil. If this daemon is cut off from
// endpoints it is at another daemon.
func (p *Placer) tryAcquire(request Request, q *queue, now time.Time) *Slot {
	if p.cutOffFor(request) {
		return p.peerSlot(request, now)
	}
	eligible := p.eligible(request)
	w := p.weigh(request, q, now)
	candidates := p.candidates(eligible, w)
	i := ChooseStale(candidates, p.sentSince(q, w.delay), p.options.Random)
	if i < 0 {
		return nil
	}
	s := p.endpoint(eligible[i].ID)
	if s.queue != q && s.running == 0 {
		s.paces = paces{} // those of another model
	}
	s.begin(now)
	s.unread += request.PromptTokens
	tokens := p.tokens(request)
	s.tokens += tokens
	q.active++
	p.charge(request, q)
	slot := &Slot{
		Endpoint: eligible[i], Load: candidates[i].Load, ReadTime: candidates[i].ReadTime,
		placer: p, state: s, queue: q, lastProgress: now, acquired: now, unread: request.PromptTokens, tokens: tokens,
	}
	s.queue = q
	s.unanswered = append(s.unanswered, slot)
	return slot
}

// sentSince returns the requests that the other daemons are expected to have sent since the
// loads that they reported, and that are in progress yet.
func (p *Placer) sentSince(q *queue, delay time.Duration) float64 {
	rate := q.others.ArrivalRate
	if q.others.InTime+q.others.Late > 0 {
		rate = min(rate, q.others.FreeRate) // more wait for a slot
	}
	return expectedSent(rate, delay, seconds(q.holdSeconds))
}

// lateSince returns the longest time for which this process ran late since a time.
func (p *Placer) lateSince(since time.Time) time.Duration {
	return p.options.Late(p.options.Boot() - time.Since(since))
}
