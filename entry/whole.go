package entry

import (
	"encoding/json"
	"errors"
	"strings"
)

// maxWhole bounds the size of an answer that isn't a stream, in bytes.
const maxWhole = 16 << 20

var (
	errWhole = errors.New("the answer is too large")
	errEmpty = errors.New("the endpoint sent no event")
)

// whole puts the events of a stream together into one answer.
type whole struct {
	size    int
	answer  map[string]any
	choices merged
}

// add takes the data of the next event.
func (w *whole) add(data []byte) error {
	w.size += len(data)
	if w.size > maxWhole {
		return errWhole
	}
	var event map[string]any
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	choices, _ := event["choices"].([]any)
	delete(event, "choices")
	if w.answer == nil {
		w.answer = event
	}
	for name, value := range event {
		if value != nil {
			w.answer[name] = value
		}
	}
	w.choices.list(choices)
	return nil
}

// body returns the answer as JSON. The choices' deltas become messages.
func (w *whole) body() ([]byte, error) {
	if w.answer == nil {
		return nil, errEmpty
	}
	if object, ok := w.answer["object"].(string); ok {
		w.answer["object"] = strings.TrimSuffix(object, ".chunk")
	}
	choices := w.choices.values()
	for _, choice := range choices {
		message(choice)
	}
	w.answer["choices"] = choices
	return json.Marshal(w.answer)
}

func message(choice any) {
	fields, ok := choice.(map[string]any)
	if !ok {
		return
	}
	if delta, ok := fields["delta"]; ok {
		delete(fields, "delta")
		fields["message"] = delta
	}
}
