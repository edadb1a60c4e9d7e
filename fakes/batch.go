package fakes

import "slices"

// batch holds the jobs that run at once and the queue of those that wait. Its
// methods must be called with the lock of the process held.
type batch struct {
	size    int
	running []*job
	queue   []*job // by priority, highest first, then by arrival
}

// inProgress returns the number of running and queued jobs.
func (b *batch) inProgress() int { return len(b.running) + len(b.queue) }

// add queues a job and admits all jobs that can run.
func (b *batch) add(j *job) {
	position := len(b.queue)
	for position > 0 && b.queue[position-1].priority < j.priority {
		position--
	}
	b.queue = slices.Insert(b.queue, position, j)
	b.admitQueued()
}

// remove removes a job and admits the queued jobs that can run now.
func (b *batch) remove(j *job) {
	same := func(other *job) bool { return other == j }
	b.running = slices.DeleteFunc(b.running, same)
	b.queue = slices.DeleteFunc(b.queue, same)
	b.admitQueued()
}

// admitQueued moves jobs from the head of the queue into the batch as long as
// they fit.
func (b *batch) admitQueued() {
	for len(b.queue) > 0 && b.admits(b.queue[0]) {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running = append(b.running, j)
		close(j.admitted)
	}
}

// admits reports whether a job can join the batch now. A job marked as alone
// runs only by itself.
func (b *batch) admits(j *job) bool {
	if len(b.running) == 0 {
		return true
	}
	return len(b.running) < b.size && !j.alone && !b.running[0].alone
}
