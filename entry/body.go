package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"
)

// readBody reads a request's body within the limits on size and time.
func readBody(j *job, w http.ResponseWriter, r *http.Request) *Error {
	limit := j.view.Document.Limits.Body
	if r.ContentLength > limit {
		return reject("admit", TooLarge, nil)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(j.deadline) // in-memory writers have none
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return reject("admit", TooLarge, nil)
	}
	if err != nil && j.late() {
		return reject("admit", Timeout, nil)
	}
	if err != nil {
		return reject("admit", Cancelled, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	j.body = body
	return nil
}

// fingerprint returns a hash of what a request asks for. A zero byte stands
// between the parts, none of which holds one but the last.
func fingerprint(account, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(account + "\x00" + path + "\x00"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// The bounds on what is read of a body after its refusal.
const (
	maxLinger     = time.Second
	maxLingerSize = 1 << 20 // bytes
)

// linger reads on after a refusal for a while, so that a caller that is still
// sending its body gets to read why it was refused.
func linger(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(maxLinger))
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerSize)
}
