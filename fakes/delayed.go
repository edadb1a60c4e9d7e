package fakes

import "time"

// delayed is a value whose changes show after a lag. The zero value shows the
// zero value. Its user guards it.
type delayed[T any] struct {
	shown T
	queue []dated[T]
}

// dated is a value with the moment from which it shows.
type dated[T any] struct {
	at    time.Time
	value T
}

func (d *delayed[T]) set(value T, lag time.Duration) {
	d.queue = append(d.queue, dated[T]{at: time.Now().Add(lag), value: value})
	d.get()
}

func (d *delayed[T]) get() T {
	for len(d.queue) > 0 && !d.queue[0].at.After(time.Now()) {
		d.shown = d.queue[0].value
		d.queue = d.queue[1:]
	}
	return d.shown
}
