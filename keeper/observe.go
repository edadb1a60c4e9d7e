package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// observe reads the platform's list when that is due, and probes the fabric
// domain's instances.
func (t *tenure) observe(ctx context.Context) {
	t.roll(t.k.list.read(ctx, listInterval))
	answers := t.probe(ctx)
	now := time.Now()
	document := t.k.o.View().Document
	for id, answer := range answers {
		seen := t.k.o.Policy.Observe(t.seen[id], answer, now)
		t.seen[id] = t.k.o.Policy.Standing(seen, document, now)
	}
}

// roll takes in the platform's list. A member that the list doesn't have is
// known by its address alone, and an instance that it has dropped is forgotten
// once it is silent too.
func (t *tenure) roll(rows []store.Instance, at time.Time) {
	for _, row := range rows {
		if row.Fabric == t.fabric {
			t.seen[row.ID] = fleet.List(t.seen[row.ID], row, at)
			delete(t.forgot, row.ID)
		}
	}
	now := time.Now()
	for id, seen := range t.seen {
		dropped := at.Sub(seen.Listed) >= t.k.o.Policy.Unlearned
		if dropped && seen.State == chart.Silent && now.Sub(seen.Since) >= t.k.o.Policy.Unlearned {
			delete(t.seen, id)
			t.forgot[id] = true
		}
	}
	for _, replica := range t.value.Replicas {
		for _, member := range replica.Members {
			t.introduce(member, now)
		}
	}
}

// introduce makes a member known that the list doesn't have yet.
func (t *tenure) introduce(member fleet.Member, now time.Time) {
	id := member.Instance
	if _, ok := t.seen[id]; ok || t.forgot[id] {
		return
	}
	instance := store.Instance{ID: id, Address: member.Address, Fabric: t.fabric, Domain: t.value.Domain}
	t.seen[id] = fleet.List(fleet.Seen{}, instance, now)
}

// probe asks all instances at once, as far as that is bounded.
func (t *tenure) probe(ctx context.Context) map[string]fleet.Answer {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	answers := map[string]fleet.Answer{}
	for _, id := range slices.Sorted(maps.Keys(t.seen)) {
		address := t.seen[id].Instance.Address
		group.Go(func() error {
			answer := t.ask(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func (t *tenure) ask(ctx context.Context, address string) fleet.Answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	report, err := t.k.o.Probe(ctx, address)
	return fleet.Answer{Report: report, Err: err, Took: time.Since(start)}
}
