package pick

import (
	"time"

	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// candidate returns an endpoint with the load and health on which Choose decides.
func (p *Placer) candidate(e site.Endpoint, request Request, now time.Time) Candidate {
	s := p.endpoint(e.ID)
	c := Candidate{
		ID: e.ID, Load: s.running + s.othersRunning, Slots: max(1, e.Slots), Slowdown: 1, FailureRate: s.recentFailureRate(now),
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
		if model, known := service.Engine.Model(request.Model); known {
			c.Slowdown = s.slowdown(*service.Engine, model, c.Load)
			c.ReadTime = s.readTime(*service.Engine, model, request.PromptTokens)
		}
	}
	if service.ColdRate > 0 {
		interval := time.Duration(float64(time.Second) * float64(p.options.Daemons()) / service.ColdRate)
		c.RateLimited = s.rateLimited(now, e.Seen+e.Cold > p.options.Boot(), interval, p.options.Random)
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
	return known && s.slowdown(*service.Engine, model, s.running+s.othersRunning) >= slowFactor
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
	v := p.options.Snapshot()
	var endpoints []site.Endpoint
	for _, e := range v.Endpoints {
		if e.Service == request.Service && v.Usable(e) && !p.isLeaving(e) && !request.Avoid[e.ID] && (request.Model == "" || p.serves(v, e, request)) {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// serves reports whether an endpoint leads a complete group that serves the model.
// An announcement of the keeper takes precedence over the endpoint's own report,
// unless the report has a higher epoch.
func (p *Placer) serves(v *watch.Snapshot, e site.Endpoint, request Request) bool {
	announced, ok := p.announced[e.ID]
	if ok && announced.Epoch >= e.State.Member.Epoch {
		return announced.Open && announced.Model == request.Model
	}
	if !e.State.Serves(request.Model) {
		return false
	}
	service, ok := p.service(request.Service)
	if !ok || service.Engine == nil {
		return false
	}
	model, known := service.Engine.Model(request.Model)
	return known && v.HasWholeGroup(e, model.Size)
}

// endpoint returns the state of an endpoint, which it makes on first use.
func (p *Placer) endpoint(id string) *endpointState {
	s, ok := p.endpoints[id]
	if !ok {
		s = &endpointState{id: id}
		p.endpoints[id] = s
	}
	return s
}
