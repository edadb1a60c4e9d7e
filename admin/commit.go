package admin

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

const (
	commitTimeout = 4 * time.Second        // for the store to accept an edit, with all attempts
	storeTimeout  = time.Second            // for one call to the store
	retryInterval = 100 * time.Millisecond // between two attempts
)

// change is an edit to be applied to the current document.
type change struct {
	id     string
	action string // for the audit log
	idOnly bool   // a stored edit with this id counts as this edit even if the content differs, since it depends on the document
	edit   func(edit.Envelope) (edit.Edit, error)
}

// commit writes one change to the store.
type commit struct {
	change      change
	store       *store.Client
	pending     bool          // the response to a write was lost, and the write may still take effect
	pendingPrev uint64        // revision that the pending write was based on
	base        edit.Envelope // document that the last write was based on
	hasBase     bool          // base is set
}

// result is an edit that is in the store.
type result struct {
	entry     store.Entry       // stored value that contains the edit
	after     edit.Envelope     // decoded from entry
	accepted  edit.AcceptedEdit // zero if nothing changed
	before    edit.Envelope     // valid if hasBefore
	hasBefore bool              // this commit wrote the edit and knows the document before it
	unchanged bool
}

// run retries until the store has the edit, the edit is found to be invalid, or
// commitTimeout has passed. An Unavailable error means that the edit is not in
// force and will not be; Unsettled means that it may be.
func (c *commit) run(ctx context.Context) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var lastErr error
	for {
		done, final, err := c.try(ctx)
		if final {
			return done, err
		}
		if err != nil {
			lastErr = err
		}
		if !clock.Sleep(ctx, retryInterval) {
			return result{}, c.timeoutError(lastErr)
		}
	}
}

func (c *commit) timeoutError(lastErr error) error {
	kind := Unavailable
	if c.pending {
		kind = Unsettled
	}
	return &Error{Op: c.change.action, Kind: kind, Err: lastErr}
}

// try reads the document, applies the change and writes the new document once.
// It reports whether the result is final.
func (c *commit) try(ctx context.Context) (result, bool, error) {
	entry, current, err := read(ctx, c.store)
	if err != nil {
		var unreadable *edit.Error
		return result{}, errors.As(err, &unreadable), err
	}
	if entry.Revision != c.pendingPrev {
		c.pending = false // the pending write took effect, or never will
	}
	if accepted, ok := current.Find(c.change.id); ok && c.change.idOnly {
		return c.existing(entry, current, accepted), true, nil
	}
	e, err := c.change.edit(current)
	if err != nil {
		return result{}, true, err
	}
	next, err := edit.Apply(current, e)
	if err != nil {
		return result{}, true, err
	}
	if next.Serial == current.Serial {
		accepted, _ := current.Find(e.ID)
		return c.existing(entry, current, accepted), true, nil
	}
	return c.write(ctx, entry, current, next)
}

// existing returns the result for an edit that is already in the store.
func (c *commit) existing(entry store.Entry, current edit.Envelope, accepted edit.AcceptedEdit) result {
	hasBefore := c.hasBase && accepted.Serial == c.base.Serial+1
	return result{entry: entry, after: current, accepted: accepted, before: c.base, hasBefore: hasBefore, unchanged: accepted.ID == ""}
}

func (c *commit) write(ctx context.Context, entry store.Entry, current, next edit.Envelope) (result, bool, error) {
	value, err := json.Marshal(next)
	if err != nil || len(value) > maxValue {
		return result{}, true, &edit.Error{Op: c.change.action, Kind: edit.TooLarge, Err: errTooLarge}
	}
	c.base, c.hasBase = current, true
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := c.store.Put(ctx, store.Put{Key: fleet.ConfKey, Value: value, Prev: entry.Revision})
	if err == nil {
		written := store.Entry{Key: fleet.ConfKey, Value: value, Revision: revision}
		accepted, _ := next.Find(c.change.id)
		return result{entry: written, after: next, accepted: accepted, before: current, hasBefore: true}, true, nil
	}
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.Lost {
		c.pending, c.pendingPrev = true, entry.Revision
	}
	return result{}, false, err
}

var errTooLarge = errors.New("the document would be above a megabyte")

// read returns the stored configuration. If there is none, the revision of the
// entry is 0.
func read(ctx context.Context, client *store.Client) (store.Entry, edit.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := client.Get(ctx, fleet.ConfKey)
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.NotFound {
		return store.Entry{Key: fleet.ConfKey}, edit.Envelope{}, nil
	}
	if err != nil {
		return entry, edit.Envelope{}, err
	}
	envelope, err := edit.Read(entry.Value)
	return entry, envelope, err
}
