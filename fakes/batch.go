package fakes

import "slices"

// batch holds the jobs that run at once and those that wait to. Its user
// guards it.
type batch struct {
	size    int
	running []*job
	queue   []*job // higher priority first, then the older
}

func (b *batch) progress() int { return len(b.running) + len(b.queue) }

// add puts a job into the queue and lets in those that can run.
func (b *batch) add(j *job) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].priority < j.priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, j)
	b.fill()
}

// remove takes a job out and lets in those that can run now.
func (b *batch) remove(j *job) {
	is := func(other *job) bool { return other == j }
	b.running = slices.DeleteFunc(b.running, is)
	b.queue = slices.DeleteFunc(b.queue, is)
	b.fill()
}

func (b *batch) fill() {
	for len(b.queue) > 0 && b.admits(b.queue[0]) {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running = append(b.running, j)
		close(j.admitted)
	}
}

// admits reports whether a job can join the batch. One that is to be alone
// shares it with no other.
func (b *batch) admits(j *job) bool {
	if len(b.running) == 0 {
		return true
	}
	return len(b.running) < b.size && !j.alone && !b.running[0].alone
}
