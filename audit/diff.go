package audit

import (
	"bytes"
	"encoding/json"
)

// Diff reduces two JSON objects to the members in which they differ, so that
// the trail shows the account that changed and not all of them. Values that
// are no objects come back whole.
func Diff(before, after json.RawMessage) (json.RawMessage, json.RawMessage) {
	var old, fresh map[string]json.RawMessage
	if json.Unmarshal(before, &old) != nil || json.Unmarshal(after, &fresh) != nil {
		return before, after
	}
	for key, value := range old {
		if other, ok := fresh[key]; ok && bytes.Equal(value, other) {
			delete(old, key)
			delete(fresh, key)
		}
	}
	return object(old), object(fresh)
}

func object(members map[string]json.RawMessage) json.RawMessage {
	data, err := json.Marshal(members)
	if err != nil {
		return nil
	}
	return data
}
