package entry

import (
	"encoding/json"
	"errors"
	"strings"

	"clementinehead.example/chead/bound"
)

// Bounds in bytes of answers that aren't streamed, as endpoints send them.
const (
	maxAnswerBytes  = 16 << 20 // of one
	maxAnswersBytes = 32 << 20 // of all that are being read
)

var (
	errAnswerTooLarge = errors.New("the answer is too large")
	errNoEvent        = errors.New("the endpoint sent no event")
)

// assembler merges the events of a stream into one answer.
type assembler struct {
	budget  *bound.Budget // shared by all answers
	size    int
	answer  map[string]any
	choices mergedList
}

// addEvent merges the data of the next event.
func (a *assembler) addEvent(data []byte) error {
	if a.size+len(data) > maxAnswerBytes {
		return errAnswerTooLarge
	}
	if err := a.budget.Take(int64(len(data))); err != nil {
		return err
	}
	a.size += len(data)
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

// release forgets the events.
func (a *assembler) release() {
	a.budget.Give(int64(a.size))
	*a = assembler{budget: a.budget}
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
