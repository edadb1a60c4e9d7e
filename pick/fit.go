package pick

import (
	"time"

	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

func (d *Desk) candidate(e site.Endpoint, ask Ask, now time.Time) Candidate {
	h := d.head(e.ID)
	c := Candidate{
		ID: e.ID, Load: h.own + h.others, Slots: max(1, e.Slots), Slow: 1, Fails: h.failing(now),
		Near: e.Domain == d.options.Domain, Stuck: now.Before(h.suspect),
	}
	service, ok := d.service(ask.Service)
	if !ok {
		return c
	}
	if service.Engine != nil {
		// A plain service has no events that would show that it stands still.
		c.Stuck = h.stuck(now)
		c.Slots = service.Engine.Slots
		if model, known := service.Engine.Model(ask.Model); known {
			c.Slow = h.slow(*service.Engine, model, c.Load)
			c.Read = h.read(*service.Engine, model, ask.Prompt)
		}
	}
	if service.ColdRate > 0 {
		interval := time.Duration(float64(time.Second) * float64(d.options.Shares()) / service.ColdRate)
		c.Frozen = h.frozen(now, e.Seen+e.Cold > d.options.Boot(), interval, d.options.Draw)
	}
	return c
}

func (d *Desk) service(name string) (site.Service, bool) {
	v := d.options.View()
	if v.Config == nil {
		return site.Service{}, false
	}
	s, ok := v.Config.Services[name]
	return s, ok
}

// fit returns the endpoints that serve what is asked for.
func (d *Desk) fit(ask Ask) []site.Endpoint {
	v := d.options.View()
	var fit []site.Endpoint
	for _, e := range v.Endpoints {
		if e.Service == ask.Service && v.Usable(e) && !ask.Avoid[e.ID] && (ask.Model == "" || d.serves(v, e, ask)) {
			fit = append(fit, e)
		}
	}
	return fit
}

// serves reports whether an endpoint heads a whole group that serves the model.
func (d *Desk) serves(v *sight.View, e site.Endpoint, ask Ask) bool {
	told, ok := d.told[e.ID]
	if ok && told.Epoch >= e.State.Member.Epoch {
		return told.Open && told.Model == ask.Model
	}
	if !e.State.Serves(ask.Model) {
		return false
	}
	service, ok := d.service(ask.Service)
	if !ok || service.Engine == nil {
		return false
	}
	model, known := service.Engine.Model(ask.Model)
	return known && v.Whole(e, model.Size)
}

func (d *Desk) head(id string) *head {
	h, ok := d.heads[id]
	if !ok {
		h = &head{id: id}
		d.heads[id] = h
	}
	return h
}
