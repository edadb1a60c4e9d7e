package stand

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host = "returns.example"

// oneConnection is an HTTP client with a new connection for each request.
var oneConnection = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	response, err := oneConnection.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// resolve asks up to three daemons for the addresses to connect to.
func resolve(daemons []*daemon, zone string) []string {
	for _, i := range rand.Perm(len(daemons))[:min(3, len(daemons))] {
		status, data := get("http://"+daemons[i].guide+"/api/resolve?name="+host+"&region=canterbury&zone="+zone, time.Second)
		var body struct {
			Addresses []string `json:"addresses"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &body) == nil && len(body.Addresses) > 0 {
			return body.Addresses
		}
	}
	return nil
}

// call is one client attempt.
type call struct {
	id, key, path, method, address string
	sent                           time.Time
	status                         int // 0: no answer
	body                           string
}

// send sends a call over a new connection.
func (c *call) send(deadline time.Duration, r *record) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, strings.NewReader(""))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	c.sent = time.Now()
	r.add("sent", "request %s with %s to %s", c.id, c.key, c.address)
	response, err := oneConnection.Do(request)
	if err != nil {
		r.add("answer", "request %s: none (%v)", c.id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.body = string(data)
	if err == nil {
		c.status = response.StatusCode
	}
	r.add("answer", "request %s: %d %s", c.id, response.StatusCode, strings.TrimSpace(c.body))
}
