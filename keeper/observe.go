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

// observe reads the platform's list if that is due, and probes the fabric domain's
// instances.
func (t *term) observe(ctx context.Context) {
	t.mergeList(t.keeper.list.read(ctx, listInterval))
	answers := t.probeAll(ctx)
	now := time.Now()
	document := t.keeper.options.View().Document
	for id, answer := range answers {
		status := t.keeper.options.Policy.Observe(t.instances[id], answer, now)
		t.instances[id] = t.keeper.options.Policy.ApplyExclusion(status, document, now)
	}
}

// mergeList updates the instances with the platform's list. A member that is not in
// the list is added with its address alone. An instance that has been off the list
// and silent for Policy.UnlistedAfter is forgotten.
func (t *term) mergeList(rows []store.Instance, readAt time.Time) {
	for _, row := range rows {
		if row.Fabric == t.fabric {
			t.instances[row.ID] = fleet.MarkListed(t.instances[row.ID], row, readAt)
			delete(t.delisted, row.ID)
		}
	}
	now := time.Now()
	for id, status := range t.instances {
		dropped := readAt.Sub(status.Listed) >= t.keeper.options.Policy.UnlistedAfter
		if dropped && status.State == chart.Silent && now.Sub(status.Since) >= t.keeper.options.Policy.UnlistedAfter {
			delete(t.instances, id)
			t.delisted[id] = true
		}
	}
	for _, replica := range t.value.Replicas {
		for _, member := range replica.Members {
			t.addMember(member, now)
		}
	}
}

// addMember adds a member that the platform's list doesn't have yet. A member that
// was forgotten before is not added again.
func (t *term) addMember(member fleet.Member, now time.Time) {
	id := member.Instance
	if _, ok := t.instances[id]; ok || t.delisted[id] {
		return
	}
	instance := store.Instance{ID: id, Address: member.Address, Fabric: t.fabric, Domain: t.value.Domain}
	t.instances[id] = fleet.MarkListed(fleet.InstanceStatus{}, instance, now)
}

// probeAll probes all instances, at most maxConcurrentCalls at once, and returns
// the answers by instance.
func (t *term) probeAll(ctx context.Context) map[string]fleet.ProbeResult {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	answers := map[string]fleet.ProbeResult{}
	for _, id := range slices.Sorted(maps.Keys(t.instances)) {
		address := t.instances[id].Instance.Address
		group.Go(func() error {
			answer := t.probe(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// probe probes one endpoint.
func (t *term) probe(ctx context.Context, address string) fleet.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	report, err := t.keeper.options.Probe(ctx, address)
	return fleet.ProbeResult{Report: report, Err: err, Latency: time.Since(start)}
}
