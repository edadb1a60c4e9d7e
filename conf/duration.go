package conf

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is written in JSON as a string such as
// "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as time.Duration.String does.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads what time.ParseDuration accepts.
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
