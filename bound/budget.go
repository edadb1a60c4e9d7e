package bound

import "sync/atomic"

// Budget bounds the bytes that several readers hold together. It is safe for concurrent
// use. Use NewBudget to create one.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// NewBudget returns a Budget of a number of bytes of which none is used.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take uses n bytes. If fewer are left it uses none and returns an error of kind TooLarge.
func (b *Budget) Take(n int64) error {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return &Error{Op: "take", Kind: TooLarge, Limit: b.limit}
	}
	return nil
}

// Give returns n bytes that were taken.
func (b *Budget) Give(n int64) { b.used.Add(-n) }
