package fleet

import "clementinehead.example/chead/chart"

// Check returns an Error for the first rule that a fabric domain's value
// breaks, or nil. A keeper writes no value that fails it.
func Check(fabric Fabric) error {
	owners := map[string]string{}
	ids := map[string]bool{}
	for _, replica := range fabric.Replicas {
		if ids[replica.ID] {
			return &Error{Op: "check", Kind: Twice, Name: replica.ID}
		}
		ids[replica.ID] = true
		if replica.Fence > fabric.Fence {
			return &Error{Op: "check", Kind: Fencing, Name: replica.ID}
		}
		if _, ok := chart.Replica().States[replica.State]; !ok {
			return &Error{Op: "check", Kind: State, Name: replica.ID}
		}
		for _, member := range replica.Members {
			if _, taken := owners[member.Instance]; taken {
				return &Error{Op: "check", Kind: Shared, Name: member.Instance}
			}
			owners[member.Instance] = replica.ID
		}
	}
	return nil
}
