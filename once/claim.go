package once

import "context"

// attempts bounds how often the end of a claim is written.
const attempts = 3

// Finish records that the request ran, with its answer unless that is too
// large to keep. The error is Down where the store did not take it; then the
// request counts as one that may have run.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	record := c.record
	record.State = Done
	if len(answer.Body) <= MaxKept {
		record.Answer = &answer
	}
	return c.end(ctx, "finish", record)
}

// Forgo records that the request was not run, so that a later attempt may run
// it. The holder must not run it after the call. Where the store does not take
// it, this daemon remembers it and tells the store later.
func (c *Claim) Forgo(ctx context.Context) error {
	record := c.record
	record.State = NotRun
	err := c.end(ctx, "forgo", record)
	if err != nil {
		c.book.drop(c)
	}
	return err
}

// end writes a claim's last record. Only the holder changes a claim, so a
// write that meets another revision was its own, with a lost answer.
func (c *Claim) end(ctx context.Context, op string, record Record) error {
	var err error
	for range attempts {
		_, err = c.book.write(ctx, c.key, record, c.revision)
		if err == nil || ctx.Err() != nil {
			break
		}
		var stands bool
		stands, err = c.stands(ctx, record, err)
		if stands {
			return nil
		}
	}
	if err != nil {
		return fault(op, Down, err)
	}
	return nil
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
