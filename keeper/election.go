package keeper

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// prefix is the prefix of the keepers' keys in the key-value service.
const prefix = "keeper/"

// startDelay is the time between a daemon's start and its first attempt to become
// a keeper. In this time its roster learns the other daemons.
const startDelay = 3 * time.Second

// unreachableBackoff is how long a keeper that gave up an unreachable fabric
// domain makes no further attempt, so that a daemon with another network path to
// the instances can become keeper.
const unreachableBackoff = 30 * time.Second

// checkIntervals are the times between two checks of a keeper's key, by the
// daemon's rank for the fabric domain. Daemons of a lower rank never check it.
var checkIntervals = []time.Duration{2 * time.Second, 6 * time.Second, 18 * time.Second}

// holder is the stored value of a keeper's key. It names the daemon that wrote
// the key.
type holder struct {
	Daemon string `json:"daemon"`
}

// election schedules this daemon's attempts to become the keeper of fabric
// domains. start and lastDiscovery are used by the keeper's main loop alone.
type election struct {
	rand          *rand.Rand
	start         time.Time
	lastDiscovery time.Time
	mu            sync.Mutex           // guards the fields below
	notBefore     map[string]time.Time // earliest next attempt, by fabric domain
	lastCheck     map[string]time.Time // last check of the key, or the first call of keyDue, by fabric domain
}

func newElection(rand *rand.Rand) *election {
	return &election{rand: rand, notBefore: map[string]time.Time{}, lastCheck: map[string]time.Time{}}
}

// rankDue reports whether it is time to compute this daemon's rank for a fabric
// domain again, and if so schedules the next time. The interval varies randomly by
// an eighth in each direction, so that daemons don't act in step.
func (e *election) rankDue(fabric string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.notBefore[fabric]) {
		return false
	}
	e.notBefore[fabric] = now.Add(e.jitter(checkIntervals[0]))
	return true
}

// keyDue reports whether a daemon of the given rank should check a fabric domain's
// key now. The daemon of rank 0 checks it each time its rank is due; a daemon of
// another rank waits for the interval of that rank since its last check, or since
// its first call for this fabric domain.
func (e *election) keyDue(fabric string, rank int, now time.Time) bool {
	if rank >= len(checkIntervals) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastCheck[fabric].IsZero() {
		e.lastCheck[fabric] = now
	}
	if rank > 0 && now.Sub(e.lastCheck[fabric]) < checkIntervals[rank] {
		return false
	}
	e.lastCheck[fabric] = now
	return true
}

// backOff delays this daemon's next attempt for a fabric domain by
// unreachableBackoff.
func (e *election) backOff(fabric string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notBefore[fabric] = now.Add(unreachableBackoff)
}

// jitter returns the interval varied randomly by at most an eighth of it.
func (e *election) jitter(interval time.Duration) time.Duration {
	return interval - interval/8 + time.Duration(e.rand.Int64N(int64(interval/4)))
}

// contend tries to become the keeper of each fabric domain that this daemon
// doesn't keep and for which an attempt is due.
func (k *Keeper) contend(ctx context.Context) {
	now := time.Now()
	if k.election.start.IsZero() {
		k.election.start = now
	}
	if now.Sub(k.election.start) < startDelay {
		return
	}
	current := k.options.View()
	daemons := k.daemons()
	self := k.self(daemons)
	for _, name := range slices.Sorted(maps.Keys(current.Fabrics)) {
		if k.keeps(name) || !k.election.rankDue(name, now) {
			continue
		}
		fabric := current.Fabrics[name]
		region := current.Document.Domains[fabric.Domain].Region
		rank := fleet.Rank(self, prefix+name, fabric.Domain, region, daemons, len(checkIntervals))
		if k.election.keyDue(name, rank, now) {
			k.tryAcquire(ctx, name)
		}
	}
}

// keeps reports whether this daemon has a running term for a fabric domain.
func (k *Keeper) keeps(fabric string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.terms[fabric] != nil
}

// tryAcquire makes this daemon the keeper of a fabric domain if the keeper's key is
// free or its holder is lost. If the key is already attached to this daemon's
// lease, the answer to an earlier write was lost, and only the term starts.
func (k *Keeper) tryAcquire(ctx context.Context, fabric string) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := prefix + fabric
	entry, err := k.options.Store.Get(callCtx, key)
	if err != nil && kindOf(err) != store.NotFound {
		return
	}
	if err == nil {
		if k.ownsEntry(entry) {
			k.startTerm(ctx, fabric) // the answer to an earlier write was lost
			return
		}
		if !k.orphaned(entry) || k.options.Store.Delete(callCtx, key, entry.Revision) != nil {
			return
		}
	}
	k.acquire(ctx, callCtx, fabric)
}

// acquire writes the key of a fabric domain that has no keeper and starts the
// term. The calls of the service use callCtx; the term runs until ctx ends.
func (k *Keeper) acquire(ctx, callCtx context.Context, fabric string) {
	lease, err := k.lease.ensure(callCtx)
	if err != nil {
		return
	}
	value, err := json.Marshal(holder{Daemon: k.options.Self})
	if err != nil {
		return
	}
	put := store.Put{Key: prefix + fabric, Value: value, Lease: lease}
	revision, err := k.options.Store.Put(callCtx, put)
	if err != nil {
		return
	}
	k.options.Log.Info("keeps fabric domain", "fabric", fabric)
	k.options.Audit(audit.Entry{
		ID:      decisionID(prefix+fabric, revision, 0),
		At:      time.Now(),
		Who:     k.options.Self,
		Action:  "take over",
		Subject: prefix + fabric,
		After:   value,
		Cause:   "nobody kept it",
	})
	k.startTerm(ctx, fabric)
}

// ownsEntry reports whether a key is attached to this daemon's valid lease.
func (k *Keeper) ownsEntry(entry store.Entry) bool {
	return k.lease.valid() && entry.Lease == k.lease.currentID()
}

// orphaned reports whether a key's holder is known to be lost or was an earlier
// run of this daemon, or whether the key's value can't be decoded.
func (k *Keeper) orphaned(entry store.Entry) bool {
	var h holder
	if json.Unmarshal(entry.Value, &h) != nil || h.Daemon == k.options.Self {
		return true
	}
	return slices.ContainsFunc(k.daemons(), func(d fleet.Daemon) bool { return d.ID == h.Daemon && d.Lost })
}

// holdsKey reports whether a fabric domain's key exists and is attached to this
// daemon's lease. If the key can't be read, holdsKey returns true, so that the term
// goes on.
func (k *Keeper) holdsKey(ctx context.Context, fabric string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := k.options.Store.Get(ctx, prefix+fabric)
	if err != nil {
		return kindOf(err) != store.NotFound
	}
	return k.ownsEntry(entry)
}

// resign deletes the keeper's key of an unreachable fabric domain and backs off, so
// that another daemon can become its keeper.
func (k *Keeper) resign(ctx context.Context, fabric string) {
	k.election.backOff(fabric, time.Now())
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := prefix + fabric
	entry, err := k.options.Store.Get(ctx, key)
	if err != nil || !k.ownsEntry(entry) {
		return
	}
	_ = k.options.Store.Delete(ctx, key, entry.Revision)
}

// discover looks in the platform's list for fabric domains that have no value yet
// and creates their values. Only one daemon of each failure domain does this.
func (k *Keeper) discover(ctx context.Context) {
	if time.Since(k.election.lastDiscovery) < discoverInterval {
		return
	}
	k.election.lastDiscovery = time.Now()
	daemons := k.daemons()
	if fleet.Rank(k.self(daemons), "discover/"+k.options.Domain, k.options.Domain, k.options.Region, daemons, 1) > 0 {
		return
	}
	rows, _ := k.list.read(ctx, discoverInterval/2)
	known := k.options.View().Fabrics
	for _, row := range rows {
		if _, ok := known[row.Fabric]; !ok && row.Fabric != "" {
			k.createFabric(ctx, fleet.Fabric{Name: row.Fabric, Domain: row.Domain, At: time.Now(), Cause: "found"})
			known = maps.Clone(known)
			known[row.Fabric] = fleet.Fabric{}
		}
	}
}

// createFabric writes the first value of a fabric domain. The write fails if
// another daemon has created it before, which is harmless.
func (k *Keeper) createFabric(ctx context.Context, fabric fleet.Fabric) {
	value, err := json.Marshal(fabric)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	put := store.Put{Key: fleet.Key(fabric.Name), Value: value}
	revision, err := k.options.Store.Put(ctx, put)
	if err != nil {
		return
	}
	k.options.Apply(store.Entry{Key: put.Key, Value: value, Revision: revision})
}
