package sight

import (
	"encoding/json"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// replace takes a whole listing in place of what is known.
func (s *Sight) replace(listing platform.Listing) {
	next := s.View().clone()
	listed := map[string]bool{}
	for _, item := range listing.Items {
		listed[item.Key] = true
		s.take(next, item)
	}
	for key := range s.items {
		if !listed[key] {
			s.take(next, platform.Item{Key: key, Revision: listing.AsOf, Removed: true})
		}
	}
	next.Revision = listing.AsOf
	s.publish(next)
}

// apply takes changes.
func (s *Sight) apply(listing platform.Listing) {
	now := s.options.Boot()
	if len(listing.Items) == 0 && listing.AsOf == s.View().Revision && !expired(s.View(), now) {
		return
	}
	next := s.View().clone()
	for _, item := range listing.Items {
		s.take(next, item)
	}
	drop(next, now)
	next.Revision = max(next.Revision, listing.AsOf)
	s.publish(next)
}

// expired reports whether an endpoint that lapsed in an outage didn't come back.
func expired(v *View, now time.Duration) bool {
	for _, until := range v.Lapsed {
		if now >= until {
			return true
		}
	}
	return false
}

func drop(v *View, now time.Duration) {
	for id, until := range v.Lapsed {
		if now >= until {
			delete(v.Endpoints, id)
			delete(v.Lapsed, id)
		}
	}
}

// take puts one item into the view unless a newer one is there.
func (s *Sight) take(v *View, item platform.Item) {
	if item.Revision < s.items[item.Key] {
		return
	}
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item.Revision
	}
	subject, name := platform.ParseKey(item.Key)
	switch subject {
	case platform.ConfigKey:
		s.takeConfig(v, item)
	case platform.EvacuationKey:
		s.takeEvacuation(v, name, item)
	case platform.EndpointKey:
		s.takeEndpoint(v, name, item)
	case platform.DaemonKey:
		s.takeDaemon(v, name, item)
	case platform.KeeperTermKey:
		s.takeKeeper(v, item)
	}
}

func (s *Sight) takeConfig(v *View, item platform.Item) {
	if item.Removed {
		return
	}
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		s.options.Log.Info("configuration unreadable, the last one stays", "revision", item.Revision, "error", err.Error())
		return
	}
	if v.Config != nil && config.Version < v.Config.Version {
		s.options.Log.Info("older configuration passed over", "revision", item.Revision, "version", config.Version)
		return
	}
	v.Config = config
	s.options.Log.Info("configuration in force", "version", config.Version, "revision", item.Revision, "routes", len(config.Routes))
}

func (s *Sight) takeEvacuation(v *View, domain string, item platform.Item) {
	if item.Removed {
		delete(v.Out, domain)
	} else {
		v.Out[domain] = true
	}
	s.options.Log.Info("failure domain", "domain", domain, "out", !item.Removed, "revision", item.Revision)
}

func (s *Sight) takeEndpoint(v *View, id string, item platform.Item) {
	if item.Removed {
		s.removeEndpoint(v, id, item)
		return
	}
	endpoint, err := platform.DecodeEndpoint(id, item.Value, s.options.Boot())
	if err != nil {
		s.options.Log.Info("endpoint entry unreadable", "endpoint", id, "revision", item.Revision, "error", err.Error())
		delete(v.Endpoints, id)
		delete(v.Lapsed, id)
		return
	}
	known, ok := v.Endpoints[id]
	if !ok || known.Draining != endpoint.Draining || known.State.Born != endpoint.State.Born {
		s.options.Log.Info("endpoint", "endpoint", id, "draining", endpoint.Draining, "domain", endpoint.Domain, "revision", item.Revision)
	}
	v.Endpoints[id] = endpoint
	delete(v.Lapsed, id)
}

func (s *Sight) removeEndpoint(v *View, id string, item platform.Item) {
	now := s.options.Boot()
	endpoint, known := v.Endpoints[id]
	lapse := known && !endpoint.Draining && now-s.failed < outageTail
	s.options.Log.Info("endpoint gone", "endpoint", id, "revision", item.Revision, "lapse", lapse)
	if lapse {
		v.Lapsed[id] = now + lapseGrace
		return
	}
	delete(v.Endpoints, id)
	delete(v.Lapsed, id)
}

func (s *Sight) takeDaemon(v *View, id string, item platform.Item) {
	if item.Removed {
		delete(v.Daemons, id)
		return
	}
	var d site.Daemon
	if err := json.Unmarshal(item.Value, &d); err != nil {
		s.options.Log.Info("daemon record unreadable", "peer", id, "error", err.Error())
		return
	}
	v.Daemons[id] = d
}

func (s *Sight) takeKeeper(v *View, item platform.Item) {
	if item.Removed {
		return
	}
	var term Term
	if err := json.Unmarshal(item.Value, &term); err != nil {
		s.options.Log.Info("keeper record unreadable", "revision", item.Revision, "error", err.Error())
		return
	}
	term.Revision = item.Revision
	v.Keeper = term
	s.options.Log.Info("keeper", "keeper", term.Daemon, "term", term.Number, "revision", item.Revision)
}
