package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/store"
)

// maxSkew is the difference between two clocks that is tolerated.
const maxSkew = time.Minute

// maxRun is the longest that a holder may take. After it a claim counts as
// abandoned: its request may have run, and nobody runs it again.
const maxRun = 10 * time.Minute

// Options are what a Book depends on.
type Options struct {
	Self   string // id of this daemon
	Boot   uint64 // of this daemon, so that nonces are unique
	Store  *store.Client
	Window func() time.Duration // in which a request may be repeated
	Mine   func(shard int) bool // whether this daemon sweeps a shard; nil for none
}

// Book makes and reads at-most-once records. It is safe for concurrent use.
type Book struct {
	options Options
	nonces  atomic.Uint64
	mu      sync.Mutex
	dropped map[string]drop // by nonce: claims of this daemon that will never run
}

// drop is a claim that was given up while the store could not be told.
type drop struct {
	key string
	at  time.Time
}

// maxDropped bounds the number of dropped claims that are remembered.
const maxDropped = 4096

// New returns a book that keeps its records in a store.
func New(options Options) *Book {
	return &Book{options: options, dropped: map[string]drop{}}
}

// Claim is the right to run a request once. Its holder ends it by Finish, Forgo
// or Lose; where it does neither, the request counts as one that may have run.
type Claim struct {
	book     *Book
	key      string
	record   Record
	revision uint64
}

// Claim asks for the right to run a request. It returns either a claim, or the
// answer that an earlier attempt left, or an *Error.
func (b *Book) Claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	if err := b.timely(request); err != nil {
		return b.judge(ctx, request, err)
	}
	claim, err := b.create(ctx, request, 0)
	if err == nil {
		return claim, nil, nil
	}
	if !isKind(err, store.Conflict) {
		return nil, nil, fault("claim", Down, err)
	}
	return b.judge(ctx, request, nil)
}

// timely checks the request's own time against the window.
func (b *Book) timely(request Request) *Error {
	age := time.Since(request.At)
	if age < -maxSkew {
		return fault("claim", Future, nil)
	}
	if age > b.options.Window() {
		return fault("claim", Expired, nil)
	}
	return nil
}

// judge reads the record that stands and says what it means for a request.
// Where there is none, the answer is otherwise.
func (b *Book) judge(ctx context.Context, request Request, otherwise *Error) (*Claim, *Answer, error) {
	record, revision, err := b.read(ctx, request.key())
	if isKind(err, store.NotFound) && otherwise != nil {
		return nil, nil, otherwise
	}
	if err != nil {
		return nil, nil, fault("claim", Down, err)
	}
	if record.Print != request.Print {
		return nil, nil, fault("claim", Reused, nil)
	}
	if b.free(record) && otherwise != nil {
		return nil, nil, otherwise
	}
	if b.free(record) {
		return b.reclaim(ctx, request, revision)
	}
	answer, verdict := meaning(record)
	if verdict != nil {
		return nil, nil, verdict
	}
	return nil, answer, nil
}

// free reports whether a record's request is known not to have run and never
// to run under that record's claim.
func (b *Book) free(record Record) bool {
	if record.State == NotRun {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, dropped := b.dropped[record.Nonce]
	return record.State == Claimed && dropped
}

// reclaim replaces a record whose request was not run.
func (b *Book) reclaim(ctx context.Context, request Request, revision uint64) (*Claim, *Answer, error) {
	claim, err := b.create(ctx, request, revision)
	if isKind(err, store.Conflict) {
		return nil, nil, fault("claim", Pending, err)
	}
	if err != nil {
		return nil, nil, fault("claim", Down, err)
	}
	return claim, nil, nil
}

// meaning says what a standing record means for another attempt.
func meaning(record Record) (*Answer, *Error) {
	switch {
	case record.State == Done && record.Answer != nil:
		return record.Answer, nil
	case record.State == Done:
		return nil, fault("claim", Kept, nil)
	case record.State == Claimed && time.Since(record.At) < maxRun:
		return nil, fault("claim", Pending, nil)
	default:
		return nil, fault("claim", Unknown, nil)
	}
}

// create writes a claim while the key's revision is prev. A write whose answer
// was lost is settled by reading back the claim's own nonce.
func (b *Book) create(ctx context.Context, request Request, prev uint64) (*Claim, error) {
	claim := &Claim{book: b, key: request.key(), record: Record{
		State: Claimed,
		Nonce: fmt.Sprintf("%s-%d-%d", b.options.Self, b.options.Boot, b.nonces.Add(1)),
		Print: request.Print,
		At:    time.Now(),
	}}
	revision, err := b.write(ctx, claim.key, claim.record, prev)
	if isKind(err, store.Lost) {
		revision, err = b.settle(ctx, claim)
	}
	if err != nil {
		return nil, err
	}
	claim.revision = revision
	return claim, nil
}

// settle finds out whether a claim whose write had no answer is in force.
func (b *Book) settle(ctx context.Context, claim *Claim) (uint64, error) {
	record, revision, err := b.read(ctx, claim.key)
	if err != nil {
		b.drop(claim)
		return 0, &store.Error{Op: "settle", Kind: store.Lost, Err: err}
	}
	if record.Nonce != claim.record.Nonce {
		b.drop(claim)
		return 0, &store.Error{Op: "settle", Kind: store.Conflict, Err: errors.New("another claim stands")}
	}
	return revision, nil
}

// drop remembers that a claim will never run.
func (b *Book) drop(claim *Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.dropped) < maxDropped {
		b.dropped[claim.record.Nonce] = drop{key: claim.key, at: claim.record.At}
	}
}

func (b *Book) read(ctx context.Context, key string) (Record, uint64, error) {
	entry, err := b.options.Store.Get(ctx, key)
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, 0, err
	}
	return record, entry.Revision, nil
}

func (b *Book) write(ctx context.Context, key string, record Record, prev uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return b.options.Store.Put(ctx, store.Put{Key: key, Value: value, Prev: prev})
}

func fault(op string, kind Kind, err error) *Error { return &Error{Op: op, Kind: kind, Err: err} }

func isKind(err error, kind store.Kind) bool {
	var fault *store.Error
	return errors.As(err, &fault) && fault.Kind == kind
}
