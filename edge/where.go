package edge

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"clementinehead.example/chead/pick"
)

// WherePath is the path at the metrics address that tells where a request would go now.
const WherePath = "/where"

// defaultWait is the longest wait for a slot of a request that names none.
const defaultWait = time.Second

// where answers with the pick.Explanation of a request that the query describes: service,
// model, account, prompt and answer (tokens), priority, left (milliseconds of its target
// latency) and wait (milliseconds). Nothing is sent to endpoints.
func (d *Daemon) where(w http.ResponseWriter, r *http.Request) {
	request, err := parseWhere(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.placer.Explain(request)) // fails only if the client has disconnected
}

// parseWhere returns the request that a query describes. The error names the first parameter
// that is missing or isn't a number of at least 0.
func parseWhere(query url.Values) (pick.Request, error) {
	request := pick.Request{Service: query.Get("service"), Model: query.Get("model"), Account: query.Get("account")}
	if request.Service == "" {
		return request, errors.New("service: must be given")
	}
	left, wait := int(defaultWait.Milliseconds()), int(defaultWait.Milliseconds())
	for _, p := range []struct {
		name string
		to   *int
	}{
		{"prompt", &request.PromptTokens},
		{"answer", &request.AnswerTokens},
		{"priority", &request.Priority},
		{"left", &left},
		{"wait", &wait},
	} {
		if text := query.Get(p.name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 {
				return request, errors.New(p.name + ": must be a number of at least 0, is " + strconv.Quote(text))
			}
			*p.to = n
		}
	}
	request.Remaining = time.Duration(left) * time.Millisecond
	request.MaxWait = time.Duration(wait) * time.Millisecond
	return request, nil
}
