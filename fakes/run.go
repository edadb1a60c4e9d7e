package fakes

import "time"

// run runs a job from its place in the queue to its end.
func (l *life) run(j *job) {
	defer l.leave(j)
	select {
	case <-j.admitted:
	case <-j.ctx.Done():
		return
	}
	l.noteIncomplete(j)
	if !l.together(j.ctx) || !l.engine.awake(j.ctx, l) {
		return
	}
	l.engine.began(j)
	if !l.wait(j.ctx, l.prefill(j)) {
		return
	}
	if j.user == Crasher {
		l.engine.crash(l)
		return
	}
	l.generate(j)
}

// prefill returns the time to the first token and puts the prompt's blocks
// into the cache.
func (l *life) prefill(j *job) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed := l.cache.touch(j.prompt)
	l.measure()
	o := l.engine.options
	return o.First + time.Duration(missed)*o.Prefill
}

func (l *life) generate(j *job) {
	for i := range j.tokens {
		if i > 0 && !l.wait(j.ctx, l.gap()) {
			return
		}
		if !l.together(j.ctx) {
			return
		}
		j.append(false, j.event(i))
	}
	l.complete(j)
	j.append(true, j.tail()...)
}

// complete counts a job and frees its place, before the caller can know of its
// end and send another.
func (l *life) complete(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done++
	l.batch.remove(j)
	l.measure()
}

// gap returns the time between two tokens at the present size of the batch.
func (l *life) gap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.engine.options
	return o.Token + time.Duration(max(0, len(l.batch.running)-1))*o.Share
}

// leave takes a job out of the batch, if it is still there.
func (l *life) leave(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batch.remove(j)
	l.measure()
}

// expire ends a job that nobody reads, or keeps its answer for a while where
// it is whole.
func (l *life) expire(j *job) {
	if !j.isWhole() {
		l.forget(j)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.readers == 0 {
		j.idle = time.AfterFunc(l.engine.options.Retain, func() { l.forget(j) })
	}
}

// forget ends a job and drops its answer.
func (l *life) forget(j *job) {
	j.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batch.remove(j)
	if l.jobs[j.id] == j {
		delete(l.jobs, j.id)
	}
}

// drop ends all jobs. It is called with the lock held.
func (l *life) drop() {
	for _, j := range l.jobs {
		j.cancel()
	}
	clear(l.jobs)
	l.batch = batch{size: l.batch.size}
}
