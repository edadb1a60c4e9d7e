//go:build review

package stand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
)

// pageBytes is about how much of values an answer to a watch holds, as one to a range does.
const pageBytes = 1 << 20

// watchAnswer is an answer to a watch.
type watchAnswer struct {
	Events []json.RawMessage `json:"events"`
	AsOf   int64             `json:"as_of"`
}

// paged serves a store's calls, and divides the answers to watches into pages: the caller
// continues from as_of.
func paged(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/kv-watch" {
			store.ServeHTTP(w, r)
			return
		}
		got := httptest.NewRecorder()
		store.ServeHTTP(got, r)
		for name, values := range got.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(got.Code)
		_, _ = w.Write(firstPage(got.Body.Bytes()))
	})
}

// firstPage returns the answer to a watch without the events beyond pageBytes. Events of one
// revision stay together.
func firstPage(body []byte) []byte {
	var answer watchAnswer
	if json.Unmarshal(body, &answer) != nil {
		return body // it is not an answer with events
	}
	size := 0
	last := int64(0)
	for i, event := range answer.Events {
		var of struct {
			Revision int64 `json:"revision"`
		}
		_ = json.Unmarshal(event, &of) // it was encoded by the store
		if size > 0 && size+len(event) > pageBytes && of.Revision != last {
			answer.Events = answer.Events[:i]
			answer.AsOf = last
			break
		}
		size += len(event)
		last = of.Revision
	}
	page, err := json.Marshal(answer)
	if err != nil {
		panic(err) // what was decoded can be encoded
	}
	return page
}
