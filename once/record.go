package once

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Prefix begins the store's keys of all records. Two hexadecimal digits, the
// record's shard, and a slash follow it.
const Prefix = "once/"

// MaxKept bounds the body of an answer that is kept, in bytes.
const MaxKept = 256 << 10

// State is what is known of a record's request.
type State string

// The states of a record.
const (
	Claimed State = "claimed" // its holder may run it
	Done    State = "done"    // it ran
	NotRun  State = "notrun"  // its holder has given it up without running it
	Lost    State = "lost"    // it may have run, and its holder has given it up
)

// Record is the value of a key: what became of one not-repeatable request.
type Record struct {
	State  State     `json:"state"`
	Nonce  string    `json:"nonce"` // of the claim, unique
	Print  string    `json:"print"` // fingerprint of the request's content
	At     time.Time `json:"at"`    // when the claim was made
	Answer *Answer   `json:"answer,omitempty"`
}

// Answer is a kept answer.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"` // media type
	Body   []byte `json:"body"`
}

// Request identifies a not-repeatable request.
type Request struct {
	Account string
	Key     string    // the caller's request id or idempotency key
	Print   string    // fingerprint of the content; equal keys need equal prints
	At      time.Time // the request's own time
}

// key returns the store's key. The account's name can't run into the caller's
// key, since a zero byte stands between them.
func (r Request) key() string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.Key))
	name := hex.EncodeToString(sum[:])
	return Prefix + name[:2] + "/" + name[2:]
}
