package conf

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}
