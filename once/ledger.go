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

// maxSkew is the tolerated difference between two clocks.
const maxSkew = time.Minute

// maxRun is the longest time that the holder of a claim may take. An older claim
// counts as abandoned: its request may have run, and is not run again.
const maxRun = 10 * time.Minute

// Options are the dependencies and settings of a Ledger.
type Options struct {
	Self      string // id of this daemon
	Boot      uint64 // boot of this daemon, part of its nonces to make them unique
	Store     *store.Client
	Window    func() time.Duration // time in which a request may be repeated
	OwnsShard func(shard int) bool // whether this daemon deletes the old records of a shard; nil for none
}

// Ledger holds the at-most-once records in the store. It is safe for
// concurrent use.
type Ledger struct {
	options Options
	nonces  atomic.Uint64
	mu      sync.Mutex
	dropped map[string]droppedClaim // by nonce: claims of this daemon that will never run
}

// droppedClaim is a claim that was given up while the store could not be
// updated.
type droppedClaim struct {
	key string
	at  time.Time
}

// maxDropped is the largest number of dropped claims held in memory.
const maxDropped = 4096

// New returns a Ledger that keeps its records in the store of the options.
func New(options Options) *Ledger {
	return &Ledger{options: options, dropped: map[string]droppedClaim{}}
}

// Claim is the right to run a request once. Its holder ends it with Finish, Release
// or MarkLost. Without any of them the request counts as one that may have run.
type Claim struct {
	ledger   *Ledger
	key      string
	record   Record
	revision uint64
}

// Claim requests the right to run a request. It returns a claim, the answer that
// an earlier attempt stored, or an *Error.
func (l *Ledger) Claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	if err := l.checkTime(request); err != nil {
		return l.evaluate(ctx, request, err)
	}
	claim, err := l.create(ctx, request, 0)
	if err == nil {
		return claim, nil, nil
	}
	if !isKind(err, store.Conflict) {
		return nil, nil, newError("claim", Down, err)
	}
	return l.evaluate(ctx, request, nil)
}

// checkTime checks the request's own time against the window.
func (l *Ledger) checkTime(request Request) *Error {
	age := time.Since(request.Time)
	if age < -maxSkew {
		return newError("claim", Future, nil)
	}
	if age > l.options.Window() {
		return newError("claim", Expired, nil)
	}
	return nil
}

// evaluate reads the stored record of a request and decides the request by it.
// timeErr is the fault in the request's own time, or nil. It is returned if there
// is no record or a reclaimable one, so that a request outside the window can
// still get the answer of an earlier attempt but can't run.
func (l *Ledger) evaluate(ctx context.Context, request Request, timeErr *Error) (*Claim, *Answer, error) {
	record, revision, err := l.read(ctx, request.key())
	if isKind(err, store.NotFound) && timeErr != nil {
		return nil, nil, timeErr
	}
	if err != nil {
		return nil, nil, newError("claim", Down, err)
	}
	if record.Fingerprint != request.Fingerprint {
		return nil, nil, newError("claim", Reused, nil)
	}
	if l.reclaimable(record) && timeErr != nil {
		return nil, nil, timeErr
	}
	if l.reclaimable(record) {
		return l.reclaim(ctx, request, revision)
	}
	answer, refusal := outcome(record)
	if refusal != nil {
		return nil, nil, refusal
	}
	return nil, answer, nil
}

// reclaimable reports whether a record's request is known not to have run and
// never to run under that record's claim.
func (l *Ledger) reclaimable(record Record) bool {
	if record.State == NotRun {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, dropped := l.dropped[record.Nonce]
	return record.State == Claimed && dropped
}

// reclaim replaces the record of a request that was not run by a new claim.
func (l *Ledger) reclaim(ctx context.Context, request Request, revision uint64) (*Claim, *Answer, error) {
	claim, err := l.create(ctx, request, revision)
	if isKind(err, store.Conflict) {
		return nil, nil, newError("claim", Pending, err)
	}
	if err != nil {
		return nil, nil, newError("claim", Down, err)
	}
	return claim, nil, nil
}

// outcome returns the result of another attempt at the request of a record that
// is not reclaimable: the stored answer or the reason for a refusal.
func outcome(record Record) (*Answer, *Error) {
	switch {
	case record.State == Done && record.Answer != nil:
		return record.Answer, nil
	case record.State == Done:
		return nil, newError("claim", NotStored, nil)
	case record.State == Claimed && time.Since(record.At) < maxRun:
		return nil, newError("claim", Pending, nil)
	default:
		return nil, newError("claim", Unknown, nil)
	}
}

// create writes a claim if the key's revision is prev. If the answer to the write
// is lost, it reads the record back and compares the claim's nonce.
func (l *Ledger) create(ctx context.Context, request Request, prev uint64) (*Claim, error) {
	claim := &Claim{ledger: l, key: request.key(), record: Record{
		State:       Claimed,
		Nonce:       fmt.Sprintf("%s-%d-%d", l.options.Self, l.options.Boot, l.nonces.Add(1)),
		Fingerprint: request.Fingerprint,
		At:          time.Now(),
	}}
	revision, err := l.write(ctx, claim.key, claim.record, prev)
	if isKind(err, store.Lost) {
		revision, err = l.confirm(ctx, claim)
	}
	if err != nil {
		return nil, err
	}
	claim.revision = revision
	return claim, nil
}

// confirm reads back a claim whose write had no answer. It returns the revision
// if the claim is in force; otherwise it drops the claim.
func (l *Ledger) confirm(ctx context.Context, claim *Claim) (uint64, error) {
	record, revision, err := l.read(ctx, claim.key)
	if err != nil {
		l.drop(claim)
		return 0, &store.Error{Op: "settle", Kind: store.Lost, Err: err}
	}
	if record.Nonce != claim.record.Nonce {
		l.drop(claim)
		return 0, &store.Error{Op: "settle", Kind: store.Conflict, Err: errors.New("the record belongs to another claim")}
	}
	return revision, nil
}

// drop records in memory that a claim will never run.
func (l *Ledger) drop(claim *Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.dropped) < maxDropped {
		l.dropped[claim.record.Nonce] = droppedClaim{key: claim.key, at: claim.record.At}
	}
}

func (l *Ledger) read(ctx context.Context, key string) (Record, uint64, error) {
	entry, err := l.options.Store.Get(ctx, key)
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, 0, err
	}
	return record, entry.Revision, nil
}

func (l *Ledger) write(ctx context.Context, key string, record Record, prev uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return l.options.Store.Put(ctx, store.Put{Key: key, Value: value, Prev: prev})
}

func newError(op string, kind Kind, err error) *Error { return &Error{Op: op, Kind: kind, Err: err} }

func isKind(err error, kind store.Kind) bool {
	var storeErr *store.Error
	return errors.As(err, &storeErr) && storeErr.Kind == kind
}
