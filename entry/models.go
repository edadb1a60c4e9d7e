package entry

import (
	"encoding/json"
	"net/http"
	"slices"

	"clementinehead.example/chead/view"
)

// Models is the answer to GET /v1/models, in OpenAI's format.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is a name under which a client account may request completions.
type Model struct {
	ID     string `json:"id"` // key of a group, or name of the model or adapter that it serves
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// models answers GET /v1/models for the account of the request's key.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	v := e.options.View()
	account, ok := e.keyring.account(v, r)
	if !ok {
		refuse(w, reject("admit", BadKey, nil), "")
		return
	}
	answer := Models{Object: "list", Data: []Model{}}
	for _, name := range modelNames(v, account) {
		answer.Data = append(answer.Data, Model{ID: name, Object: "model", Owner: "clementinehead"})
	}
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the caller may have disconnected
}

// modelNames returns the names of models that an account may use, sorted.
func modelNames(v *view.View, account string) []string {
	var names []string
	for key, group := range v.Document.Groups {
		if slices.Contains(group.Accounts, account) {
			names = append(names, key, view.ModelName(group))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
