package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"time"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/reply"
)

// Limits of one call to a daemon.
const (
	operatorTimeout = 30 * time.Second
	maxAnswerBytes  = 64 << 20 // bytes of the answer
)

// operator holds the flags of the commands that call a daemon.
type operator struct {
	Operator string `default:"http://127.0.0.1:7300" env:"CHEAD_OPERATOR" help:"URL of a daemon's operators' address."`
	Key      string `env:"CHEAD_KEY" help:"Operators' bearer key."`
}

// editor holds the flags of the commands that change the configuration.
type editor struct {
	operator
	Who   string `env:"CHEAD_WHO" help:"Who makes the change; the login name where absent."`
	Cause string `help:"Why, for the audit trail."`
	ID    string `help:"Id of the edit, to ask again after a lost answer; made where absent."`
}

// who returns the author of the change: the one given, or else the login name.
func (e editor) who() string {
	if e.Who != "" {
		return e.Who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// get sends a GET request for a path under /admin/v1/ and decodes the answer into
// out.
func (o operator) get(path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return o.call(http.MethodGet, path, nil, out)
}

// call sends a request for a path under /admin/v1/ and decodes the answer into out.
// The body is in: bytes as they are, other values as JSON, none if nil. An answer
// with a status other than 2xx becomes an error that quotes the whole body.
func (o operator) call(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	request, err := o.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := reply.Default.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := bound.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(body))
	}
	return json.Unmarshal(body, out)
}

// request returns the request that call sends.
func (o operator) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	switch data := in.(type) {
	case nil:
	case []byte:
		body = bytes.NewReader(data)
	default:
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, o.Operator+"/admin/v1/"+path, body)
	if err != nil {
		return nil, err
	}
	if o.Key != "" {
		request.Header.Set("Authorization", "Bearer "+o.Key)
	}
	return request, nil
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
