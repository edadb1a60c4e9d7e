package pick

import (
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// candidate returns an endpoint with the load and health on which Choose decides.
func (p *Placer) candidate(e site.Endpoint, request Request, q *queue, delay time.Duration, now time.Time) Candidate {
	s := p.endpoint(e.ID)
	c := Candidate{
		ID: e.ID, Load: s.running + s.othersRunning, Expected: expectedLoad(s.running, s.othersRunning, delay, seconds(q.holdSeconds)), Slots: max(1, e.Slots), Slowdown: 1, FailureRate: s.recentFailureRate(now),
		SameDomain: e.Domain == p.options.Domain, Stalled: now.Before(s.suspectedUntil), Paused: now.Before(s.pausedUntil),
	}
	service, ok := p.service(request.Service)
	if !ok {
		return c
	}
	if service.Engine != nil {
		// A plain service has no events that would show that it is stalled.
		c.Stalled = s.stalled(now)
		c.Slots = service.Engine.Slots
		c.NoMemory = memoryMatters(service.Engine) && s.lacksMemory(service.Engine, tokensOf(request))
		if model, known := service.Engine.Model(request.Model); known {
			c.Slowdown = s.slowdown(*service.Engine, model)
			c.ReadTime = s.readTime(*service.Engine, model, request.PromptTokens)
		}
	}
	c.Slots = s.learned.slots(e, q, c.Slots)
	unreported := q.hidden.requests(now, c.Slots)
	c.Load += unreported
	c.Expected += float64(unreported)
	if service.ColdRate > 0 {
		interval := time.Duration(float64(time.Second) * float64(p.options.Daemons()) / service.ColdRate)
		c.RateLimited = s.rateLimited(now, e.Seen+e.Cold > p.options.Boot(), interval, p.options.Random)
	}
	if p.limitWait(s, e, q, now) > 0 {
		c.RateLimited = true
	}
	return c
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
// except those that leave and those at which the request failed.
func (p *Placer) eligible(request Request) []site.Endpoint {
	var endpoints []site.Endpoint
	for _, e := range p.serving(request.Service, request.Model) {
		if !p.isLeaving(e) && !request.Avoid[e.ID] {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
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
