package audit

import (
	"bytes"
	"encoding/json"
)

// Diff reduces two JSON objects to the members in which they differ, so that
// the audit log shows, for example, the account that changed and not all of them.
// If either value is not an object, both are returned unchanged.
func Diff(before, after json.RawMessage) (json.RawMessage, json.RawMessage) {
	var old, updated map[string]json.RawMessage
	if json.Unmarshal(before, &old) != nil || json.Unmarshal(after, &updated) != nil {
		return before, after
	}
	for key, value := range old {
		if other, ok := updated[key]; ok && bytes.Equal(value, other) {
			delete(old, key)
			delete(updated, key)
		}
	}
	return marshalObject(old), marshalObject(updated)
}

func marshalObject(members map[string]json.RawMessage) json.RawMessage {
	data, err := json.Marshal(members)
	if err != nil {
		return nil
	}
	return data
}
