package once

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
)

// The first and the longest wait between attempts to write the end of a claim.
// The wait doubles after each attempt.
const (
	firstWait = 200 * time.Millisecond
	maxWait   = 2 * time.Second
)

// Finish records that the request ran, and its answer unless the body is larger
// than MaxAnswerBody. It retries until the context ends. Then the error is Down, and the
// request counts as one that may have run.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	record := c.record
	record.State = Done
	if len(answer.Body) <= MaxAnswerBody {
		record.Answer = &answer
	}
	return c.endWithRetry(ctx, "finish", record)
}

// Release records that the request was not run, so that a later attempt may run
// it. The holder must not run it after the call. If the write fails, the error is
// Down; this daemon then holds the claim as dropped and updates the store later.
func (c *Claim) Release(ctx context.Context) error {
	record := c.record
	record.State = NotRun
	if err := c.end(ctx, record); err != nil {
		c.ledger.drop(c)
		return newError("forgo", Down, err)
	}
	return nil
}

// MarkLost records that the request may have run and that its answer is lost, so
// that later attempts get the error Unknown at once. It retries until the context
// ends. Then the error is Down, and later attempts get Unknown only after the
// longest time that a holder may take.
func (c *Claim) MarkLost(ctx context.Context) error {
	record := c.record
	record.State = Lost
	return c.endWithRetry(ctx, "lose", record)
}

// endWithRetry writes a claim's last record, with retries until the context ends.
func (c *Claim) endWithRetry(ctx context.Context, op string, record Record) error {
	wait := firstWait
	for {
		err := c.end(ctx, record)
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, wait) {
			return newError(op, Down, err)
		}
		wait = min(2*wait, maxWait)
	}
}

// end writes a claim's last record. Only the holder changes a claim, so a
// conflict comes from an earlier write of its own whose answer was lost.
func (c *Claim) end(ctx context.Context, record Record) error {
	_, err := c.ledger.write(ctx, c.key, record, c.revision)
	if err == nil {
		return nil
	}
	recorded, err := c.recorded(ctx, record, err)
	if recorded {
		return nil
	}
	return err
}

// recorded reads the record back after a write that returned err and reports
// whether the write took effect nevertheless.
func (c *Claim) recorded(ctx context.Context, record Record, err error) (bool, error) {
	found, _, failed := c.ledger.read(ctx, c.key)
	if failed != nil {
		return false, err
	}
	return found.Nonce == record.Nonce && found.State == record.State, err
}
