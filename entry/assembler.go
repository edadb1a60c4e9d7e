package entry

import (
	"encoding/json"
	"errors"
	"strings"
)

// maxAnswerBytes bounds the size of an answer that isn't streamed, in bytes.
const maxAnswerBytes = 16 << 20

var (
	errAnswerTooLarge = errors.New("the answer is too large")
	errNoEvent        = errors.New("the endpoint sent no event")
)

// assembler merges the events of a stream into one answer.
type assembler struct {
	size    int
	answer  map[string]any
	choices mergedList
}

// addEvent merges the data of the next event.
func (a *assembler) addEvent(data []byte) error {
	a.size += len(data)
	if a.size > maxAnswerBytes {
		return errAnswerTooLarge
	}
	var event map[string]any
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	choices, _ := event["choices"].([]any)
	delete(event, "choices")
	if a.answer == nil {
		a.answer = event
	}
	for name, value := range event {
		if value != nil {
			a.answer[name] = value
		}
	}
	a.choices.addAll(choices)
	return nil
}

// body returns the answer as JSON. The deltas of the choices become messages.
func (a *assembler) body() ([]byte, error) {
	if a.answer == nil {
		return nil, errNoEvent
	}
	if object, ok := a.answer["object"].(string); ok {
		a.answer["object"] = strings.TrimSuffix(object, ".chunk")
	}
	choices := a.choices.values()
	for _, choice := range choices {
		deltaToMessage(choice)
	}
	a.answer["choices"] = choices
	return json.Marshal(a.answer)
}

// deltaToMessage renames a choice's field "delta" to "message".
func deltaToMessage(choice any) {
	fields, ok := choice.(map[string]any)
	if !ok {
		return
	}
	if delta, ok := fields["delta"]; ok {
		delete(fields, "delta")
		fields["message"] = delta
	}
}
