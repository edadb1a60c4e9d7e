package fakes

import "time"

// delayed is a value whose changes become visible after a lag. Before the first
// change, it is the zero value of T. Callers must synchronize access.
type delayed[T any] struct {
	visible T
	pending []scheduled[T]
}

// scheduled is a value with the time from which it is visible.
type scheduled[T any] struct {
	visibleAt time.Time
	value     T
}

func (d *delayed[T]) set(value T, lag time.Duration) {
	d.pending = append(d.pending, scheduled[T]{visibleAt: time.Now().Add(lag), value: value})
	d.get()
}

func (d *delayed[T]) get() T {
	for len(d.pending) > 0 && !d.pending[0].visibleAt.After(time.Now()) {
		d.visible = d.pending[0].value
		d.pending = d.pending[1:]
	}
	return d.visible
}
