package entry

import (
	"encoding/json"
	"net/http"
	"slices"

	"clementinehead.example/chead/view"
)

// Models is the answer to GET /v1/models, in the form of OpenAI's.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is a name under which a client account may ask for completions.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// models answers GET /v1/models for the account of the request's key.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	v := e.options.View()
	account, ok := e.keys.account(v, r)
	if !ok {
		refuse(w, reject("admit", BadKey, nil), "")
		return
	}
	answer := Models{Object: "list", Data: []Model{}}
	for _, name := range offered(v, account) {
		answer.Data = append(answer.Data, Model{ID: name, Object: "model", Owner: "clementinehead"})
	}
	writable(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // nobody is left to tell
}

// offered returns the names that an account may ask for, sorted.
func offered(v *view.View, account string) []string {
	var names []string
	for key, group := range v.Document.Groups {
		if slices.Contains(group.Accounts, account) {
			names = append(names, key, view.Offer(group))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
