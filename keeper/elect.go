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

// prefix begins the keys of the keepers' leases.
const prefix = "keeper/"

// settle is how long a daemon waits after its start before it keeps anything,
// so that its roster knows the others.
const settle = 3 * time.Second

// retreat is how long a keeper stays away from a fabric domain that it found
// dark, so that a daemon with another way to it may try.
const retreat = 30 * time.Second

// intervals are the times between looks at a keeper's key, by the daemon's
// rank for the fabric domain. Daemons of a lower rank don't look.
var intervals = []time.Duration{2 * time.Second, 6 * time.Second, 18 * time.Second}

// holder is the value of a keeper's key.
type holder struct {
	Daemon string `json:"daemon"`
}

// election holds when this daemon looks at which keeper's key next.
type election struct {
	rand       *rand.Rand
	start      time.Time
	discovered time.Time
	mu         sync.Mutex // guards the rest
	next       map[string]time.Time
	tried      map[string]time.Time
}

func newElection(rand *rand.Rand) *election {
	return &election{rand: rand, next: map[string]time.Time{}, tried: map[string]time.Time{}}
}

// looks reports whether it is time to think of a fabric domain, and sets the
// next time. The interval is spread by a quarter, so that daemons don't go in
// step.
func (e *election) looks(fabric string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.next[fabric]) {
		return false
	}
	e.next[fabric] = now.Add(e.spread(intervals[0]))
	return true
}

// due reports whether a daemon of a rank should look at a fabric domain's key.
// The first one does whenever it thinks of it, the others after their interval.
func (e *election) due(fabric string, rank int, now time.Time) bool {
	if rank >= len(intervals) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tried[fabric].IsZero() {
		e.tried[fabric] = now
	}
	if rank > 0 && now.Sub(e.tried[fabric]) < intervals[rank] {
		return false
	}
	e.tried[fabric] = now
	return true
}

// retreat keeps this daemon away from a fabric domain for a while.
func (e *election) retreat(fabric string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next[fabric] = now.Add(retreat)
}

func (e *election) spread(interval time.Duration) time.Duration {
	return interval - interval/8 + time.Duration(e.rand.Int64N(int64(interval/4)))
}

// contend tries for the fabric domains that nobody keeps.
func (k *Keeper) contend(ctx context.Context) {
	now := time.Now()
	if k.elect.start.IsZero() {
		k.elect.start = now
	}
	if now.Sub(k.elect.start) < settle {
		return
	}
	current := k.o.View()
	daemons := k.daemons()
	self := k.self(daemons)
	for _, name := range slices.Sorted(maps.Keys(current.Fabrics)) {
		if k.keeps(name) || !k.elect.looks(name, now) {
			continue
		}
		fabric := current.Fabrics[name]
		region := current.Document.Domains[fabric.Domain].Region
		rank := fleet.Rank(self, prefix+name, fabric.Domain, region, daemons, len(intervals))
		if k.elect.due(name, rank, now) {
			k.try(ctx, name)
		}
	}
}

func (k *Keeper) keeps(fabric string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tenures[fabric] != nil
}

// try takes a keeper's key if it is free, or held by a daemon that is lost.
func (k *Keeper) try(ctx context.Context, fabric string) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := prefix + fabric
	entry, err := k.o.Store.Get(call, key)
	if err != nil && kindOf(err) != store.NotFound {
		return
	}
	if err == nil {
		if k.mine(entry) {
			k.begin(ctx, fabric) // the answer to an earlier write was lost
			return
		}
		if !k.vacant(entry) || k.o.Store.Delete(call, key, entry.Revision) != nil {
			return
		}
	}
	k.take(ctx, call, fabric)
}

// take writes a free key and begins to keep its fabric domain.
func (k *Keeper) take(ctx, call context.Context, fabric string) {
	lease, err := k.lease.need(call)
	if err != nil {
		return
	}
	value, err := json.Marshal(holder{Daemon: k.o.Self})
	if err != nil {
		return
	}
	put := store.Put{Key: prefix + fabric, Value: value, Lease: lease}
	revision, err := k.o.Store.Put(call, put)
	if err != nil {
		return
	}
	k.o.Log.Info("keeps fabric domain", "fabric", fabric)
	k.o.Audit(audit.Entry{
		ID:      revisionID(prefix+fabric, revision, 0),
		At:      time.Now(),
		Who:     k.o.Self,
		Action:  "take over",
		Subject: prefix + fabric,
		After:   value,
		Cause:   "nobody kept it",
	})
	k.begin(ctx, fabric)
}

// mine reports whether a key hangs on this daemon's present lease.
func (k *Keeper) mine(entry store.Entry) bool {
	return k.lease.valid() && entry.Lease == k.lease.number()
}

// vacant reports whether a key's holder is known to be lost, or was an earlier
// run of this daemon.
func (k *Keeper) vacant(entry store.Entry) bool {
	var h holder
	if json.Unmarshal(entry.Value, &h) != nil || h.Daemon == k.o.Self {
		return true
	}
	return slices.ContainsFunc(k.daemons(), func(d fleet.Daemon) bool { return d.ID == h.Daemon && d.Lost })
}

// holds reports whether a fabric domain's key hangs on this daemon's lease. It
// goes on as before where that can't be read.
func (k *Keeper) holds(ctx context.Context, fabric string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := k.o.Store.Get(ctx, prefix+fabric)
	if err != nil {
		return kindOf(err) != store.NotFound
	}
	return k.mine(entry)
}

// resign ends the tenure of a fabric domain that this daemon can't reach.
func (k *Keeper) resign(ctx context.Context, fabric string) {
	k.elect.retreat(fabric, time.Now())
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := prefix + fabric
	entry, err := k.o.Store.Get(ctx, key)
	if err != nil || !k.mine(entry) {
		return
	}
	_ = k.o.Store.Delete(ctx, key, entry.Revision)
}

// discover looks for fabric domains that nobody has noted yet. One daemon of each
// failure domain does.
func (k *Keeper) discover(ctx context.Context) {
	if time.Since(k.elect.discovered) < discoverInterval {
		return
	}
	k.elect.discovered = time.Now()
	daemons := k.daemons()
	if fleet.Rank(k.self(daemons), "discover/"+k.o.Domain, k.o.Domain, k.o.Region, daemons, 1) > 0 {
		return
	}
	rows, _ := k.list.read(ctx, discoverInterval/2)
	known := k.o.View().Fabrics
	for _, row := range rows {
		if _, ok := known[row.Fabric]; !ok && row.Fabric != "" {
			k.found(ctx, fleet.Fabric{Name: row.Fabric, Domain: row.Domain, At: time.Now(), Cause: "found"})
			known = maps.Clone(known)
			known[row.Fabric] = fleet.Fabric{}
		}
	}
}

// found notes a new fabric domain. Another daemon may have been first.
func (k *Keeper) found(ctx context.Context, fabric fleet.Fabric) {
	value, err := json.Marshal(fabric)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	put := store.Put{Key: fleet.Key(fabric.Name), Value: value}
	revision, err := k.o.Store.Put(ctx, put)
	if err != nil {
		return
	}
	k.o.Learn(store.Entry{Key: put.Key, Value: value, Revision: revision})
}
