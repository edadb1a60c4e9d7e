package keeper

import (
	"encoding/json"
	"fmt"
	"time"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// audit logs a written value and adds each decision that led to it to the audit log.
func (t *term) audit(before fleet.Fabric, result fleet.Result, entry store.Entry) {
	t.keeper.options.Log.Info("fabric domain changed", "fabric", t.fabric, "revision", entry.Revision, "cause", result.Fabric.Cause)
	for i, cause := range result.Causes {
		t.keeper.options.Audit(audit.Entry{
			ID:      decisionID(entry.Key, entry.Revision, i),
			At:      time.Now(),
			Who:     t.keeper.options.Self,
			Action:  cause.Action,
			Subject: cause.Subject,
			Before:  replicaJSON(before, cause.Subject),
			After:   replicaJSON(result.Fabric, cause.Subject),
			Cause:   cause.Reason,
		})
	}
}

// decisionID returns the audit ID of the decision with the given index in a write.
func decisionID(key string, revision uint64, index int) string {
	return fmt.Sprintf("%s@%d.%d", key, revision, index)
}

// replicaJSON returns the replica with the given ID as JSON, or nil if the value has
// none.
func replicaJSON(fabric fleet.Fabric, id string) json.RawMessage {
	for _, replica := range fabric.Replicas {
		if replica.ID != id {
			continue
		}
		data, err := json.Marshal(replica)
		if err != nil {
			return nil
		}
		return data
	}
	return nil
}
