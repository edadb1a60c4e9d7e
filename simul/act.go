package simul

import (
	"encoding/json"
	"time"
)

// Deed is a kind of Act, as it is written in a trace.
type Deed string

// The deeds.
const (
	Came  Deed = "came"  // got a request, which it may refuse
	Ran   Deed = "ran"   // began to run a request
	Gave  Deed = "gave"  // began an answer, with Status and Signature
	Broke Deed = "broke" // broke off an answer
	Lost  Deed = "lost"  // will not answer a run
	Ended Deed = "ended" // is no longer at work on a run
)

// Act is something that a Runner did for a request. Tests compare acts with what
// callers got.
type Act struct {
	Deed      Deed    `json:"deed"`
	Runner    string  `json:"runner"`
	ID        string  `json:"id"`
	At        int64   `json:"at"` // microseconds since 1970
	Status    int     `json:"status,omitempty"`
	Signature string  `json:"signature,omitempty"` // unique for each answer
	Limit     float64 `json:"limit,omitempty"`     // that the answer states, in requests per second
}

// Time returns when the act took place.
func (a Act) Time() time.Time { return time.UnixMicro(a.At) }

// String returns the act as a line of a trace.
func (a Act) String() string {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// ParseAct returns the act of a line of a trace, and whether it is one.
func ParseAct(line string) (Act, bool) {
	var a Act
	err := json.Unmarshal([]byte(line), &a)
	return a, err == nil && a.Deed != ""
}

// act reports an act of the runner.
func (r *Runner) act(deed Deed, id string, status int, signature string) {
	r.note(Act{Deed: deed, ID: id, Status: status, Signature: signature})
}

// note reports an act of the runner, which happens now.
func (r *Runner) note(a Act) {
	if r.options.OnAct == nil {
		return
	}
	a.Runner = r.options.ID
	a.At = time.Now().UnixMicro()
	r.options.OnAct(a)
}
