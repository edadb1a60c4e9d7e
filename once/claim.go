package once

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
)

// The waits between attempts to write the end of a claim; they double.
const (
	firstWait = 200 * time.Millisecond
	maxWait   = 2 * time.Second
)

// Finish records that the request ran, with its answer unless that is too
// large to keep. The error is Down where the store did not take it until the
// context ended; then the request counts as one that may have run.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	record := c.record
	record.State = Done
	if len(answer.Body) <= MaxKept {
		record.Answer = &answer
	}
	return c.insist(ctx, "finish", record)
}

// Forgo records that the request was not run, so that a later attempt may run
// it. The holder must not run it after the call. Where the store does not take
// it, this daemon remembers it and tells the store later.
func (c *Claim) Forgo(ctx context.Context) error {
	record := c.record
	record.State = NotRun
	if err := c.end(ctx, record); err != nil {
		c.book.drop(c)
		return fault("forgo", Down, err)
	}
	return nil
}

// Lose records that the request may have run and that its answer is lost, so
// that later attempts hear it at once. The error is Down where the store did
// not take it until the context ended; then they hear it once the claim is old.
func (c *Claim) Lose(ctx context.Context) error {
	record := c.record
	record.State = Lost
	return c.insist(ctx, "lose", record)
}

// insist writes a claim's last record, again and again until the context ends.
func (c *Claim) insist(ctx context.Context, op string, record Record) error {
	wait := firstWait
	for {
		err := c.end(ctx, record)
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, wait) {
			return fault(op, Down, err)
		}
		wait = min(2*wait, maxWait)
	}
}

// end writes a claim's last record. Only the holder changes a claim, so a
// write that meets another revision was its own, with a lost answer.
func (c *Claim) end(ctx context.Context, record Record) error {
	_, err := c.book.write(ctx, c.key, record, c.revision)
	if err == nil {
		return nil
	}
	stands, err := c.stands(ctx, record, err)
	if stands {
		return nil
	}
	return err
}

// stands reads back whether a record that was written with the error err is in
// force after all.
func (c *Claim) stands(ctx context.Context, record Record, err error) (bool, error) {
	found, _, failed := c.book.read(ctx, c.key)
	if failed != nil {
		return false, err
	}
	return found.Nonce == record.Nonce && found.State == record.State, err
}
