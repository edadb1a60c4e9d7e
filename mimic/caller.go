package mimic

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request of a caller.
type Call struct {
	Address  string // where the caller connects
	Path     string
	ID       string
	Model    string
	Key      string
	Deadline time.Duration
}

// Request returns the call as it goes out. Its body can't be read twice, so that
// no client sends it again by itself.
func (c Call) Request(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+c.Path, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Request-Id", c.ID)
	r.Header.Set("X-Model", c.Model)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.Key)
	return r, nil
}

// After returns when a refused caller is told to come back, 0 where it is not.
func After(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Resolve asks a daemon where to connect. The error is that of the call.
func Resolve(ctx context.Context, client *http.Client, guide string) ([]string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+guide+"/api/resolve?name="+Host, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil // it names none now
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addresses, err
}

// Stream is the body of a whole stream.
func Stream(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString("id: " + strconv.Itoa(i) + "\ndata: token\n\n")
	}
	return b.String()
}
