package reply

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// Read reads the head of the final answer to a request, after informational ones, from a
// reader over a Conn.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			checkBody(response)
			return response, nil
		}
	}
}

// checkBody makes the body of an answer end with an error of kind Field, and not with
// io.EOF, if the trailer after it has a name that is no token. The other faults of a trailer
// are errors by net/http.
func checkBody(r *http.Response) {
	if len(r.TransferEncoding) > 0 { // there is no trailer without chunks
		r.Body = &body{ReadCloser: r.Body, response: r}
	}
}

// body is the body of an answer in chunks.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body, and its trailer at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.response.Trailer {
		if !isName(name) {
			return n, fieldError(errName)
		}
	}
	return n, err
}

// isName reports whether a name may be that of a field.
func isName(name string) bool {
	for i := range len(name) {
		if !isToken(name[i]) {
			return false
		}
	}
	return name != ""
}
