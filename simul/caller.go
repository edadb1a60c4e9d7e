package simul

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call describes one request of a caller.
type Call struct {
	Address  string // host:port that the caller connects to
	Path     string
	ID       string
	Model    string
	Key      string        // API key of the client account, sent as a bearer token
	Prompt   string        // parts of the prompt, sent as X-Prompt-Prefix; empty for none, and then all bodies are alike
	Size     int           // length of the body in bytes, 0 for a short one; has an effect if Prompt is empty
	Deadline time.Duration // sent in milliseconds as X-Deadline-Ms
}

// Request returns the HTTP request of the call. Its body cannot be read twice, so
// that no HTTP client repeats the request by itself.
func (c Call) Request(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+c.Path, io.NopCloser(strings.NewReader(c.Body())))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Request-Id", c.ID)
	r.Header.Set("X-Model", c.Model)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Prompt != "" {
		r.Header.Set(promptHeader, c.Prompt)
	}
	return r, nil
}

// Body returns the body of the request.
func (c Call) Body() string {
	if c.Prompt == "" {
		return strings.Repeat("x", max(1, c.Size))
	}
	return "x" + c.ID
}

const promptHeader = "X-Prompt-Prefix"

// Signature returns the endpoint's signature of a response, or an empty string if there
// is none.
func Signature(response *http.Response) string { return response.Header.Get(signatureHeader) }

// RetryAfter returns the time after which a response asks the caller to retry, from
// its Retry-After header, or 0 if the header is missing or not a number of seconds.
func RetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Resolve requests the addresses to connect to from the daemon at the address
// guide, host:port. It returns no addresses and no error if the daemon answers with
// a status other than 200, and an error if the request fails or the answer cannot
// be decoded.
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
		return nil, nil // the daemon names no address now
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(data, &answer)
	return answer.Addresses, err
}
