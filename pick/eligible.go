package pick

import (
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// weighing is what is the same for all endpoints that a request may go to.
type weighing struct {
	request    Request
	queue      *queue
	service    site.Service
	known      bool // the service is configured
	model      site.Model
	modelKnown bool
	delay      time.Duration // mean time until the load of another daemon is known here
	hold       time.Duration // that requests of the queue take on average
	now        time.Time
	boot       time.Duration // boot clock: now
	interval   time.Duration // between two requests of this daemon to a cold endpoint, 0 if these take any number
}

// weigh returns the weighing of a request.
func (p *Placer) weigh(request Request, q *queue, now time.Time) *weighing {
	w := &weighing{request: request, queue: q, delay: p.options.Delay(), hold: seconds(q.holdSeconds), now: now, boot: p.options.Boot()}
	service, known := p.service(request.Service)
	if !known {
		return w
	}
	w.service, w.known = service, true
	if service.Engine != nil {
		w.model, w.modelKnown = service.Engine.Model(request.Model)
	}
	if service.ColdRate > 0 {
		w.interval = time.Duration(float64(time.Second) * float64(p.options.Daemons()) / service.ColdRate)
	}
	return w
}

// candidate returns an endpoint with the load and health on which Choose decides.
func (p *Placer) candidate(e *site.Endpoint, w *weighing) Candidate {
	s := p.endpoint(e.ID)
	c := Candidate{
		ID: e.ID, Load: s.running + s.othersRunning, Expected: expectedLoad(s.running, s.othersRunning, w.delay, w.hold), Slots: max(1, e.Slots), Slowdown: 1, FailureRate: s.recentFailureRate(w.now),
		SameDomain: e.Domain == p.options.Domain, Stalled: w.now.Before(s.suspectedUntil), Paused: w.now.Before(s.pausedUntil),
	}
	if !w.known {
		return c
	}
	if engine := w.service.Engine; engine != nil {
		// A plain service has no events that would show that it is stalled.
		c.Stalled = s.stalled(w.now)
		c.Slots = engine.Slots
		c.NoMemory = memoryMatters(engine) && s.lacksMemory(engine, tokensOf(w.request))
		if w.modelKnown {
			c.Slowdown = s.slowdown(*engine, w.model)
			c.ReadTime = s.readTime(*engine, w.model, w.request.PromptTokens)
		}
	}
	c.Slots = s.learned.slots(*e, w.queue, c.Slots)
	unreported := w.queue.hidden.requests(w.now, c.Slots)
	c.Load += unreported
	c.Expected += float64(unreported)
	if w.interval > 0 {
		c.RateLimited = s.rateLimited(w.now, e.Seen+e.Cold > w.boot, w.interval, p.options.Random)
	}
	if p.limitWait(s, *e, w.queue, w.now) > 0 {
		c.RateLimited = true
	}
	return c
}

// candidates returns the candidates among endpoints.
func (p *Placer) candidates(endpoints []site.Endpoint, w *weighing) []Candidate {
	candidates := make([]Candidate, len(endpoints))
	for i := range endpoints {
		candidates[i] = p.candidate(&endpoints[i], w)
	}
	return candidates
}

// slowFactor is the slowdown from which an endpoint is reported as slow. A group with
// members in several fabric domains stays below it.
const slowFactor = 2.5

// isSlow reports whether events of this daemon's streams come from an endpoint much
// further apart than expected.
func (p *Placer) isSlow(v *watch.Snapshot, s *endpointState) bool {
	e, listed := v.Endpoints[s.id]
	if !listed || s.streams == 0 {
		return false
	}
	service, ok := p.service(e.Service)
	if !ok || service.Engine == nil {
		return false
	}
	model, known := service.Engine.Model(p.announced[e.ID].Model)
	return known && s.slowdown(*service.Engine, model) >= slowFactor
}

// isPlain reports whether an endpoint is known to be of a plain service, which has no
// events that would show that it is stalled, and no group.
func (p *Placer) isPlain(v *watch.Snapshot, id string) bool {
	e, listed := v.Endpoints[id]
	service, known := p.service(e.Service)
	return listed && known && service.Engine == nil
}

func (p *Placer) service(name string) (site.Service, bool) {
	v := p.options.Snapshot()
	if v.Config == nil {
		return site.Service{}, false
	}
	s, ok := v.Config.Services[name]
	return s, ok
}

// eligible returns the usable endpoints that serve the request's model or service,
// except those that leave and those at which the request failed. The result must not be
// changed.
func (p *Placer) eligible(request Request) []site.Endpoint {
	endpoints := p.serving(request.Service, request.Model)
	excluded := func(e site.Endpoint) bool { return p.isLeaving(e) || request.Avoid[e.ID] }
	if !slices.ContainsFunc(endpoints, excluded) {
		return endpoints // nearly always, so it isn't copied
	}
	return slices.DeleteFunc(slices.Clone(endpoints), excluded)
}

// servingCache holds the usable endpoints by what they serve, for one snapshot and the
// present announcements. Working them out for each request takes too long with many
// endpoints.
type servingCache struct {
	snapshot *watch.Snapshot
	sizes    map[watch.GroupKey]int // nil until needed
	serving  map[string][]site.Endpoint
}

// serving returns the usable endpoints that serve a model, or a plain service if the
// model is empty, by ID.
func (p *Placer) serving(service, model string) []site.Endpoint {
	v := p.options.Snapshot()
	if p.cache.snapshot != v || p.cache.serving == nil {
		p.cache = servingCache{snapshot: v, serving: map[string][]site.Endpoint{}}
	}
	key := service + "/" + model
	endpoints, known := p.cache.serving[key]
	if known {
		return endpoints
	}
	for _, e := range v.Endpoints {
		if e.Service == service && v.Usable(e) && (model == "" || p.serves(e, model)) {
			endpoints = append(endpoints, e)
		}
	}
	slices.SortFunc(endpoints, func(a, b site.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	p.cache.serving[key] = endpoints
	return endpoints
}

// serves reports whether an endpoint leads a complete group that serves the model.
// An announcement of the keeper takes precedence over the endpoint's own report,
// unless the report has a higher epoch.
func (p *Placer) serves(e site.Endpoint, name string) bool {
	member := e.State.Member
	announced, ok := p.announced[e.ID]
	if ok && announced.Epoch >= member.Epoch {
		return announced.Open && announced.Model == name
	}
	service, known := p.service(e.Service)
	if !e.State.Serves(name) || !known || service.Engine == nil {
		return false
	}
	model, known := service.Engine.Model(name)
	if !known {
		return false
	}
	if p.cache.sizes == nil {
		p.cache.sizes = p.cache.snapshot.GroupSizes()
	}
	return p.cache.sizes[watch.GroupKey{Service: e.Service, Group: member.Group, Epoch: member.Epoch}] >= model.Size
}

// endpoint returns the state of an endpoint, which it makes on first use.
func (p *Placer) endpoint(id string) *endpointState {
	s, ok := p.endpoints[id]
	if !ok {
		s = &endpointState{id: id, late: p.lateSince}
		p.endpoints[id] = s
	}
	return s
}
