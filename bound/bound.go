package bound

import (
	"io"
	"net/http"
)

// HeadLimit is the most bytes that are read of the head of a response to a daemon.
const HeadLimit = 64 << 10

// Heads limits the heads that a transport reads to HeadLimit, and returns the transport.
func Heads(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = HeadLimit
	return t
}

// ReadAll reads r to its end. More than limit bytes are an error of kind TooLarge, other
// errors are those of r. No more than a byte beyond the limit is read.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &Error{Op: "read", Kind: TooLarge, Limit: limit}
	}
	return data, nil
}
