package fleet

import (
	"cmp"
	"slices"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// existingReplica is a replica that Apportion may retain.
type existingReplica struct {
	replica  Replica
	fabric   string
	domain   string
	outdated bool
}

// existingReplicas returns the replicas of a group that are not draining, those
// to retain first.
func existingReplicas(fabrics map[string]Fabric, name string, group conf.Group) []existingReplica {
	var found []existingReplica
	for _, fabric := range fabrics {
		for _, replica := range fabric.Replicas {
			if replica.Group == name && replica.State != chart.Draining {
				found = append(found, existingReplica{replica, fabric.Name, fabric.Domain, Outdated(replica, group)})
			}
		}
	}
	slices.SortFunc(found, func(x, y existingReplica) int {
		return cmp.Or(
			cmp.Compare(stateRank(x.replica.State), stateRank(y.replica.State)),
			cmp.Compare(btoi(x.outdated), btoi(y.outdated)),
			x.replica.Since.Compare(y.replica.Since),
			cmp.Compare(x.replica.ID, y.replica.ID),
		)
	})
	return found
}

// stateRank orders the states of a replica by how much is lost when it is given
// up, greatest loss first.
func stateRank(state string) int {
	return slices.Index([]string{chart.Serving, chart.Loading, chart.Draining, chart.Broken}, state)
}

// Outdated reports whether a replica differs from its group's configuration in
// model, adapter, version or size.
func Outdated(replica Replica, group conf.Group) bool {
	return replica.Model != group.Model || replica.Adapter != group.Adapter ||
		replica.Version != group.Version || len(replica.Members) != group.Size
}

// hasOutdated reports whether a group has an outdated replica, which means that
// a rollout is in progress.
func hasOutdated(fabrics map[string]Fabric, name string, group conf.Group) bool {
	for _, fabric := range fabrics {
		for _, replica := range fabric.Replicas {
			if replica.Group == name && Outdated(replica, group) {
				return true
			}
		}
	}
	return false
}
