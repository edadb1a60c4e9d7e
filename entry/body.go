package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"
)

// readBody reads a request's body within the limit on its size and the
// deadline.
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
	if err != nil && j.expired() {
		return reject("admit", Timeout, nil)
	}
	if err != nil {
		return reject("admit", Cancelled, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	j.body = body
	return nil
}

// fingerprint returns a hash of a request. A zero byte separates the parts;
// only the last part may contain one.
func fingerprint(account, requestLine string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(account + "\x00" + requestLine + "\x00"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Limits on reading a body after the request was refused.
const (
	lingerTime     = time.Second
	maxLingerBytes = 1 << 20
)

// linger reads on for a while after a refusal (lingering close), so that a
// caller that is still sending its body can read the refusal before the
// connection ends.
func linger(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerBytes)
}
