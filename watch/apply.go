package watch

import (
	"encoding/json"
	"slices"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

const (
	lapseGrace   = 1800 * time.Millisecond // how long a lapsed endpoint is kept, since it may register again
	outageWindow = 2500 * time.Millisecond // within this time after an outage of the store, removals may be lapses
)

// replace makes the snapshot equal to a listing of all keys. Known keys that are
// not listed count as removed.
func (w *Watcher) replace(listing platform.Listing) {
	next := w.Snapshot().clone()
	switch {
	case !w.listed:
		next.Era = listing.Era
		next.Unused = !hasTrace(listing)
		next.EraRevision = listing.Revision
		w.listed = true
	case next.Era != listing.Era:
		w.beginEra(next, listing)
	}
	listed := map[string]bool{}
	for _, item := range listing.Items {
		listed[item.Key] = true
		w.applyItem(next, item)
	}
	for key := range w.revisions {
		if !listed[key] {
			w.applyItem(next, platform.Item{Key: key, Revision: listing.Revision, Removed: true})
		}
	}
	next.limitKept(w.options.Boot())
	next.Revision = listing.Revision
	w.history.reset(listing)
	w.publish(next)
}

// hasTrace reports whether daemons have served by a store before: then it has a settled
// configuration, or had a keeper in an earlier era, and keeps their records for good.
func hasTrace(listing platform.Listing) bool {
	return slices.ContainsFunc(listing.Items, func(item platform.Item) bool {
		return item.Key == platform.SettledKey || item.Key == platform.KeeperKey && !isOfEra(item, listing.Era)
	})
}

// isOfEra reports whether the term in a keeper's record began in an era. A keeper may be
// elected before the first configuration is settled.
func isOfEra(item platform.Item, era int64) bool {
	var term Term
	err := json.Unmarshal(item.Value, &term)
	return err == nil && term.Era == era
}

// applyChanges applies the changes that a watch returned and drops lapsed
// endpoints whose grace period is over.
func (w *Watcher) applyChanges(listing platform.Listing) {
	now := w.options.Boot()
	if len(listing.Items) == 0 && listing.Revision == w.Snapshot().Revision && !hasExpired(w.Snapshot(), now) {
		return
	}
	next := w.Snapshot().clone()
	for _, item := range listing.Items {
		w.applyItem(next, item)
	}
	next.limitKept(now)
	w.dropExpired(next, now)
	next.Revision = max(next.Revision, listing.Revision)
	w.history.add(listing)
	w.publish(next)
}

// hasExpired reports whether the grace period of a lapsed endpoint is over.
func hasExpired(s *Snapshot, now time.Duration) bool {
	for _, until := range s.Lapsed {
		if now >= until {
			return true
		}
	}
	for _, until := range s.KeptOut {
		if now >= until {
			return true
		}
	}
	return false
}

// dropExpired removes lapsed endpoints whose grace period is over.
func (w *Watcher) dropExpired(s *Snapshot, now time.Duration) {
	for id, until := range s.Lapsed {
		if now >= until {
			w.rewind.recordDeparture(s.Endpoints[id], now)
			delete(s.Endpoints, id)
			delete(s.Lapsed, id)
		}
	}
	for domain, until := range s.KeptOut {
		if now >= until {
			delete(s.OutOfService, domain)
			delete(s.KeptOut, domain)
		}
	}
}

// applyItem applies one item to s unless s reflects a later revision of its key.
func (w *Watcher) applyItem(s *Snapshot, item platform.Item) {
	if item.Revision < w.revisions[item.Key] {
		return
	}
	if item.Removed {
		delete(w.revisions, item.Key)
	} else {
		w.revisions[item.Key] = item.Revision
	}
	keyType, name := platform.ParseKey(item.Key)
	switch keyType {
	case platform.ConfigKey:
		w.applyConfig(s, item)
	case platform.EvacuationKey:
		w.applyEvacuation(s, name, item)
	case platform.EndpointKey:
		w.applyEndpoint(s, name, item)
	case platform.DaemonKey:
		w.applyDaemon(s, name, item)
	case platform.KeeperTermKey:
		w.applyKeeper(s, item)
	case platform.PartKey:
		w.applyPart(s, name, item)
	case platform.SettledVersionKey:
		w.applySettled(s, item)
	case platform.AccountsVersionKey:
		w.applyAccounts(s, item)
	}
}

// RefusedPart is the record of a part of prompts that is refused.
type RefusedPart struct {
	Until time.Time `json:"until"` // by the time of day
}

func (w *Watcher) applyPart(s *Snapshot, part string, item platform.Item) {
	delete(s.Parts, part)
	if item.Removed {
		return
	}
	var record RefusedPart
	if err := json.Unmarshal(item.Value, &record); err != nil {
		w.options.Log.Info("cannot decode record of a part", "parts", part, "error", err.Error())
		return
	}
	s.Parts[part] = record.Until
}

// applyConfig sets the configuration. One that cannot be decoded or has a lower
// version than the current one is ignored.
func (w *Watcher) applyConfig(s *Snapshot, item platform.Item) {
	if item.Removed {
		return
	}
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		w.options.Log.Info("configuration unreadable, the last one stays", "revision", item.Revision, "error", err.Error())
		return
	}
	if s.Config != nil && config.Version < s.Config.Version {
		w.options.Log.Info("older configuration passed over", "revision", item.Revision, "version", config.Version)
		return
	}
	s.setConfig(config, item.Revision)
	w.options.Log.Info("configuration in force", "version", config.Version, "revision", item.Revision, "routes", len(config.Routes), "keys", len(config.Accounts), "open", s.Config.Open)
}

func (w *Watcher) applyEvacuation(s *Snapshot, domain string, item platform.Item) {
	if _, kept := s.KeptOut[domain]; item.Removed && kept {
		return
	}
	delete(s.KeptOut, domain)
	if item.Removed {
		delete(s.OutOfService, domain)
	} else {
		s.OutOfService[domain] = true
	}
	w.options.Log.Info("failure domain", "domain", domain, "out", !item.Removed, "revision", item.Revision)
}

func (w *Watcher) applyEndpoint(s *Snapshot, id string, item platform.Item) {
	if item.Removed {
		w.removeEndpoint(s, id, item)
		return
	}
	endpoint, err := platform.DecodeEndpoint(id, item.Value, w.options.Boot())
	if err != nil {
		w.options.Log.Info("endpoint entry unreadable", "endpoint", id, "revision", item.Revision, "error", err.Error())
		delete(s.Endpoints, id)
		delete(s.Lapsed, id)
		return
	}
	known, ok := s.Endpoints[id]
	if w.rewind.revives(endpoint, item.Revision) {
		w.options.Log.Info("endpoint of the older copy passed over, it has left", "endpoint", id, "revision", item.Revision)
		return
	}
	endpoint.Draining = endpoint.Draining || ok && w.rewind.reverts(known, endpoint, item.Revision)
	if !ok || known.Draining != endpoint.Draining || known.State.Started != endpoint.State.Started {
		w.options.Log.Info("endpoint", "endpoint", id, "draining", endpoint.Draining, "domain", endpoint.Domain, "revision", item.Revision)
	}
	s.Endpoints[id] = endpoint
	delete(s.Lapsed, id)
}

// removeEndpoint deletes an endpoint, or marks it as lapsed if it was not draining
// and the store was in an outage within outageWindow.
func (w *Watcher) removeEndpoint(s *Snapshot, id string, item platform.Item) {
	now := w.options.Boot()
	endpoint, known := s.Endpoints[id]
	lapsed := known && !endpoint.Draining && now-time.Duration(w.outageAt.Load()) < outageWindow
	w.options.Log.Info("endpoint gone", "endpoint", id, "revision", item.Revision, "lapse", lapsed)
	if lapsed {
		s.Lapsed[id] = now + lapseGrace
		return
	}
	w.rewind.recordDeparture(endpoint, now)
	delete(s.Endpoints, id)
	delete(s.Lapsed, id)
}

// applyDaemon records the daemon on an instance. It replaces the one of an earlier start.
func (w *Watcher) applyDaemon(s *Snapshot, instance string, item platform.Item) {
	delete(s.Daemons, w.daemonIDs[instance])
	delete(w.daemonIDs, instance)
	if item.Removed {
		return
	}
	var d site.Daemon
	if err := json.Unmarshal(item.Value, &d); err != nil {
		w.options.Log.Info("cannot decode daemon record", "peer", instance, "error", err.Error())
		return
	}
	s.Daemons[d.ID] = d
	w.daemonIDs[instance] = d.ID
}

func (w *Watcher) applyKeeper(s *Snapshot, item platform.Item) {
	if item.Removed {
		return
	}
	var term Term
	if err := json.Unmarshal(item.Value, &term); err != nil {
		w.options.Log.Info("cannot decode keeper record", "revision", item.Revision, "error", err.Error())
		return
	}
	term.Revision = item.Revision
	s.Keeper = term
	w.options.Log.Info("keeper", "keeper", term.Daemon, "term", term.Number, "revision", item.Revision)
}

func (w *Watcher) applySettled(s *Snapshot, item platform.Item) {
	s.Settled = Settled{}
	if item.Removed {
		return
	}
	record := Settled{Revision: item.Revision}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		w.options.Log.Info("cannot decode record of the settled configuration", "revision", item.Revision, "error", err.Error())
		record = Settled{Revision: item.Revision}
	}
	s.Settled = record
}
