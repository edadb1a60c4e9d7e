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
	committing = 4 * time.Second        // for the store to take an edit
	answering  = time.Second            // for one answer of the store
	again      = 100 * time.Millisecond // between two tries
)

// change is an edit to be made to whatever document is current.
type change struct {
	id      string
	action  string // for the audit trail
	settled bool   // a known id is enough: the content depends on the document
	edit    func(edit.Envelope) (edit.Edit, error)
}

// commit is the writing of one change to the store.
type commit struct {
	change  change
	store   *store.Client
	pending bool          // an answer was lost, and the write may still take effect
	prev    uint64        // the revision that the lost write was based on
	before  edit.Envelope // what the last write was based on
	wrote   bool          // before is set
}

// result is an edit that the store has.
type result struct {
	entry     store.Entry   // the value that holds it
	after     edit.Envelope // of that entry
	stamp     edit.Stamp    // zero where nothing changed
	before    edit.Envelope // valid where known
	known     bool          // whether this commit wrote it and knows what was before
	unchanged bool
}

// run tries until the store has the edit, the edit turns out to be wrong, or
// the time is over. An Unavailable error means that the edit is not and will
// not be in force; Unsettled, that it may be.
func (c *commit) run(ctx context.Context) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, committing)
	defer cancel()
	var last error
	for {
		done, final, err := c.try(ctx)
		if final {
			return done, err
		}
		if err != nil {
			last = err
		}
		if !clock.Sleep(ctx, again) {
			return result{}, c.gaveUp(last)
		}
	}
}

func (c *commit) gaveUp(last error) error {
	kind := Unavailable
	if c.pending {
		kind = Unsettled
	}
	return &Error{Op: c.change.action, Kind: kind, Err: last}
}

// try reads the document, applies the change and writes the outcome once. It
// reports whether that was final.
func (c *commit) try(ctx context.Context) (result, bool, error) {
	entry, current, err := read(ctx, c.store)
	if err != nil {
		var unreadable *edit.Error
		return result{}, errors.As(err, &unreadable), err
	}
	if entry.Revision != c.prev {
		c.pending = false // the lost write took effect, or never will
	}
	if stamp, ok := current.Find(c.change.id); ok && c.change.settled {
		return c.found(entry, current, stamp), true, nil
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
		stamp, _ := current.Find(e.ID)
		return c.found(entry, current, stamp), true, nil
	}
	return c.write(ctx, entry, current, next)
}

// found is the result for an edit that is in the store already.
func (c *commit) found(entry store.Entry, current edit.Envelope, stamp edit.Stamp) result {
	known := c.wrote && stamp.Serial == c.before.Serial+1
	return result{entry: entry, after: current, stamp: stamp, before: c.before, known: known, unchanged: stamp.ID == ""}
}

func (c *commit) write(ctx context.Context, entry store.Entry, current, next edit.Envelope) (result, bool, error) {
	value, err := json.Marshal(next)
	if err != nil || len(value) > maxValue {
		return result{}, true, &edit.Error{Op: c.change.action, Kind: edit.TooLarge, Err: errTooLarge}
	}
	c.before, c.wrote = current, true
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	revision, err := c.store.Put(ctx, store.Put{Key: fleet.Conf, Value: value, Prev: entry.Revision})
	if err == nil {
		written := store.Entry{Key: fleet.Conf, Value: value, Revision: revision}
		stamp, _ := next.Find(c.change.id)
		return result{entry: written, after: next, stamp: stamp, before: current, known: true}, true, nil
	}
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.Lost {
		c.pending, c.prev = true, entry.Revision
	}
	return result{}, false, err
}

var errTooLarge = errors.New("the document would be above a megabyte")

// read returns the stored configuration. Where there is none, the entry's
// revision is 0.
func read(ctx context.Context, client *store.Client) (store.Entry, edit.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	entry, err := client.Get(ctx, fleet.Conf)
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.NotFound {
		return store.Entry{Key: fleet.Conf}, edit.Envelope{}, nil
	}
	if err != nil {
		return entry, edit.Envelope{}, err
	}
	envelope, err := edit.Read(entry.Value)
	return entry, envelope, err
}
