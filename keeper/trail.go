package keeper

import (
	"encoding/json"
	"fmt"
	"time"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// report puts each decision of a written value into the audit trail.
func (t *tenure) report(before fleet.Fabric, result fleet.Result, entry store.Entry) {
	t.k.o.Log.Info("fabric domain changed", "fabric", t.fabric, "revision", entry.Revision, "cause", result.Fabric.Cause)
	for i, cause := range result.Causes {
		t.k.o.Audit(audit.Entry{
			ID:      revisionID(entry.Key, entry.Revision, i),
			At:      time.Now(),
			Who:     t.k.o.Self,
			Action:  cause.Action,
			Subject: cause.Subject,
			Before:  replicaJSON(before, cause.Subject),
			After:   replicaJSON(result.Fabric, cause.Subject),
			Cause:   cause.Reason,
		})
	}
}

// revisionID names one decision of a write.
func revisionID(key string, revision uint64, number int) string {
	return fmt.Sprintf("%s@%d.%d", key, revision, number)
}

// replicaJSON returns a replica of a value, or nothing where it has none of
// that id.
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
