package sight

import (
	"encoding/json"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// replace makes the snapshot equal to a listing of all keys. Known keys that are
// not listed count as removed.
func (s *Watcher) replace(listing platform.Listing) {
	next := s.Snapshot().clone()
	listed := map[string]bool{}
	for _, item := range listing.Items {
		listed[item.Key] = true
		s.applyItem(next, item)
	}
	for key := range s.revisions {
		if !listed[key] {
			s.applyItem(next, platform.Item{Key: key, Revision: listing.Revision, Removed: true})
		}
	}
	next.Revision = listing.Revision
	s.publish(next)
}

// applyChanges applies the changes that a watch returned and drops lapsed
// endpoints whose grace period is over.
func (s *Watcher) applyChanges(listing platform.Listing) {
	now := s.options.Boot()
	if len(listing.Items) == 0 && listing.Revision == s.Snapshot().Revision && !hasExpired(s.Snapshot(), now) {
		return
	}
	next := s.Snapshot().clone()
	for _, item := range listing.Items {
		s.applyItem(next, item)
	}
	dropExpired(next, now)
	next.Revision = max(next.Revision, listing.Revision)
	s.publish(next)
}

// hasExpired reports whether the grace period of a lapsed endpoint is over.
func hasExpired(v *Snapshot, now time.Duration) bool {
	for _, until := range v.Lapsed {
		if now >= until {
			return true
		}
	}
	return false
}

// dropExpired removes lapsed endpoints whose grace period is over.
func dropExpired(v *Snapshot, now time.Duration) {
	for id, until := range v.Lapsed {
		if now >= until {
			delete(v.Endpoints, id)
			delete(v.Lapsed, id)
		}
	}
}

// applyItem applies one item to v unless v reflects a later revision of its key.
func (s *Watcher) applyItem(v *Snapshot, item platform.Item) {
	if item.Revision < s.revisions[item.Key] {
		return
	}
	if item.Removed {
		delete(s.revisions, item.Key)
	} else {
		s.revisions[item.Key] = item.Revision
	}
	keyType, name := platform.ParseKey(item.Key)
	switch keyType {
	case platform.ConfigKey:
		s.applyConfig(v, item)
	case platform.EvacuationKey:
		s.applyEvacuation(v, name, item)
	case platform.EndpointKey:
		s.applyEndpoint(v, name, item)
	case platform.DaemonKey:
		s.applyDaemon(v, name, item)
	case platform.KeeperTermKey:
		s.applyKeeper(v, item)
	}
}

// applyConfig sets the configuration. One that cannot be decoded or has a lower
// version than the current one is ignored.
func (s *Watcher) applyConfig(v *Snapshot, item platform.Item) {
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

func (s *Watcher) applyEvacuation(v *Snapshot, domain string, item platform.Item) {
	if item.Removed {
		delete(v.OutOfService, domain)
	} else {
		v.OutOfService[domain] = true
	}
	s.options.Log.Info("failure domain", "domain", domain, "out", !item.Removed, "revision", item.Revision)
}

func (s *Watcher) applyEndpoint(v *Snapshot, id string, item platform.Item) {
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
	if !ok || known.Draining != endpoint.Draining || known.State.Started != endpoint.State.Started {
		s.options.Log.Info("endpoint", "endpoint", id, "draining", endpoint.Draining, "domain", endpoint.Domain, "revision", item.Revision)
	}
	v.Endpoints[id] = endpoint
	delete(v.Lapsed, id)
}

// removeEndpoint deletes an endpoint, or marks it as lapsed if it was not draining
// and a call to the store failed within outageWindow.
func (s *Watcher) removeEndpoint(v *Snapshot, id string, item platform.Item) {
	now := s.options.Boot()
	endpoint, known := v.Endpoints[id]
	lapsed := known && !endpoint.Draining && now-s.failedAt < outageWindow
	s.options.Log.Info("endpoint gone", "endpoint", id, "revision", item.Revision, "lapse", lapsed)
	if lapsed {
		v.Lapsed[id] = now + lapseGrace
		return
	}
	delete(v.Endpoints, id)
	delete(v.Lapsed, id)
}

func (s *Watcher) applyDaemon(v *Snapshot, id string, item platform.Item) {
	if item.Removed {
		delete(v.Daemons, id)
		return
	}
	var d site.Daemon
	if err := json.Unmarshal(item.Value, &d); err != nil {
		s.options.Log.Info("cannot decode daemon record", "peer", id, "error", err.Error())
		return
	}
	v.Daemons[id] = d
}

func (s *Watcher) applyKeeper(v *Snapshot, item platform.Item) {
	if item.Removed {
		return
	}
	var term Term
	if err := json.Unmarshal(item.Value, &term); err != nil {
		s.options.Log.Info("cannot decode keeper record", "revision", item.Revision, "error", err.Error())
		return
	}
	term.Revision = item.Revision
	v.Keeper = term
	s.options.Log.Info("keeper", "keeper", term.Daemon, "term", term.Number, "revision", item.Revision)
}
