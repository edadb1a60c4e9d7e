package fleet

import (
	"maps"
	"slices"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/engine"
)

// Command is an order with the instance that it is sent to.
type Command struct {
	Instance    string
	Address     string // host:port of its endpoint
	ChecksFence bool   // the endpoint refuses orders with an old fencing token
	Order       engine.Order
}

// Orders returns the orders that bring the instances to the value of a fabric
// domain. It gives orders only to instances that answered their last probe and
// report another state, and none to an instance with a higher fencing token,
// since the value is then out of date.
func Orders(fabric Fabric, instances map[string]InstanceStatus) []Command {
	var commands []Command
	assigned := map[string]bool{}
	for _, replica := range fabric.Replicas {
		for rank, member := range replica.Members {
			assigned[member.Instance] = true
			if command, due := replica.order(rank, instances[member.Instance]); due {
				commands = append(commands, command)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		if s := instances[id]; !assigned[id] && s.Fresh() && s.Report.Replica != "" && s.Report.Fence <= fabric.Fence {
			commands = append(commands, s.command(engine.Order{Fence: fabric.Fence}))
		}
	}
	return commands
}

// order returns the order for the member of the given rank, and whether it has
// to be sent. The members of a replica that serves or drains are only given its
// new fencing token.
func (r Replica) order(rank int, status InstanceStatus) (Command, bool) {
	if !status.Fresh() || r.State == chart.Broken || status.Report.Fence > r.Fence {
		return Command{}, false
	}
	if Matches(status.Report, &r) && status.Report.Rank == rank {
		return Command{}, false
	}
	if r.State != chart.Loading && status.Report.Replica != r.ID {
		return Command{}, false
	}
	order := engine.Order{
		Fence:   r.Fence,
		Replica: r.ID,
		Model:   r.Model,
		Adapter: r.Adapter,
		Version: r.Version,
		Rank:    rank,
	}
	for _, member := range r.Members {
		order.Members = append(order.Members, member.Address)
	}
	return status.command(order), true
}

func (s InstanceStatus) command(order engine.Order) Command {
	return Command{
		Instance:    s.Instance.ID,
		Address:     s.Instance.Address,
		ChecksFence: s.Instance.ChecksFence,
		Order:       order,
	}
}

// Fresh reports whether an instance answered its last probe.
func (s InstanceStatus) Fresh() bool { return !s.At.IsZero() && s.Missed == 0 }
