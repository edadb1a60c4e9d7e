//go:build review

package stand

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/simul"
)

// call is one request of a caller.
type call struct {
	id     string
	daemon string
	sent   time.Time
	status int // 0 if there was no answer
}

var nextCall atomic.Int64

// send sends a request to a daemon over a new connection.
func (c *cluster) send(d *daemon, path, key string) call {
	rec := call{id: fmt.Sprintf("%016x", nextCall.Add(1)), daemon: d.name}
	request, err := http.NewRequest(http.MethodGet, "http://"+d.caller+path, nil)
	if err != nil {
		panic(err) // the path is one of ours
	}
	request.Host = simul.Host
	request.Close = true
	request.Header.Set("X-Request-Id", rec.id)
	request.Header.Set("X-Deadline-Ms", "2000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	rec.sent = time.Now()
	c.rec.note("%s sent to %s: GET %s with key %q", rec.id, d.name, path, key)
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
	if err != nil {
		c.rec.note("%s answered: %v", rec.id, err)
		return rec
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	rec.status = response.StatusCode
	c.rec.note("%s answered: %d, signature %q", rec.id, rec.status, response.Header.Get("X-Server-Signature"))
	return rec
}

// load sends requests to all daemons at a pace until a time, and returns them.
func (c *cluster) load(path, key string, pause time.Duration, until time.Time) []call {
	var mu sync.Mutex
	var all []call
	var wait sync.WaitGroup
	for time.Now().Before(until) {
		for _, d := range c.daemons {
			wait.Go(func() {
				sent := c.send(d, path, key)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sent)
			})
		}
		time.Sleep(pause)
	}
	wait.Wait()
	return all
}

// ran returns the runner that a request reached, and when; nil if none.
func (c *cluster) ran(sent call) (*runner, time.Time) {
	for _, r := range c.runners {
		if at, ran := r.ranAt(sent.id); ran {
			return r, at
		}
	}
	return nil, time.Time{}
}
