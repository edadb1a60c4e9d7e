package once

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Prefix is the start of the store keys of all records. It is followed by the
// record's shard, two hexadecimal digits, and a slash.
const Prefix = "once/"

// MaxAnswerBody is the largest body of an answer that is stored, in bytes.
const MaxAnswerBody = 256 << 10

// State is what is known about whether a record's request ran.
type State string

// The states of a record.
const (
	Claimed State = "claimed" // the holder of the claim may run it
	Done    State = "done"    // it ran
	NotRun  State = "notrun"  // the holder gave up the claim without running it
	Lost    State = "lost"    // it may have run, and its answer is lost
)

// Record is the stored value of a key: the state of one not-repeatable request.
type Record struct {
	State       State     `json:"state"`
	Nonce       string    `json:"nonce"` // unique for each claim
	Fingerprint string    `json:"print"` // fingerprint of the request's content
	At          time.Time `json:"at"`    // time of the claim
	Answer      *Answer   `json:"answer,omitempty"`
}

// Answer is the stored answer to a request that ran.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"` // media type
	Body   []byte `json:"body"`
}

// Request identifies a not-repeatable request.
type Request struct {
	Account     string
	Key         string    // the caller's request id or idempotency key
	Fingerprint string    // fingerprint of the content, the same for each attempt with a key
	Time        time.Time // the request's own time
}

// key returns the request's key in the store. A zero byte separates the account
// from the caller's key, so that different pairs can't yield the same input.
func (r Request) key() string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.Key))
	name := hex.EncodeToString(sum[:])
	return Prefix + name[:2] + "/" + name[2:]
}
