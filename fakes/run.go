package fakes

import "time"

// run runs a job from the queue to its end.
func (p *process) run(j *job) {
	defer p.release(j)
	select {
	case <-j.admitted:
	case <-j.ctx.Done():
		return
	}
	p.recordIfIncomplete(j)
	if !p.awaitMembers(j.ctx) || !p.engine.awaitResume(j.ctx, p) {
		return
	}
	p.engine.recordStart(j)
	if !p.wait(j.ctx, p.prefill(j)) {
		return
	}
	if j.user == CrashUser {
		p.engine.crash(p)
		return
	}
	p.generate(j)
}

// prefill adds the prompt's blocks to the cache and returns the time to the
// first token.
func (p *process) prefill(j *job) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	missed := p.cache.touch(j.prompt)
	p.updateLoad()
	o := p.engine.options
	return o.First + time.Duration(missed)*o.Prefill
}

// generate adds the tokens of a job to its answer, one after another.
func (p *process) generate(j *job) {
	for i := range j.tokens {
		if i > 0 && !p.wait(j.ctx, p.tokenInterval()) {
			return
		}
		if !p.awaitMembers(j.ctx) {
			return
		}
		j.append(false, j.tokenEvent(i))
	}
	p.complete(j)
	j.append(true, j.finalEvents()...)
}

// complete counts a completed job and frees its slot. This happens before the
// caller can see the end of the answer and send another request.
func (p *process) complete(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completions++
	p.batch.remove(j)
	p.updateLoad()
}

// tokenInterval returns the time between two tokens at the present size of the
// batch.
func (p *process) tokenInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.engine.options
	return o.Token + time.Duration(max(0, len(p.batch.running)-1))*o.PerRequest
}

// release removes a job from the batch or queue, if it is still there.
func (p *process) release(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batch.remove(j)
	p.updateLoad()
}

// expire discards a job without readers: at once if its answer is not complete,
// otherwise after the time EngineOptions.RetainAnswer.
func (p *process) expire(j *job) {
	if !j.isComplete() {
		p.discard(j)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.readers == 0 {
		j.idleTimer = time.AfterFunc(p.engine.options.RetainAnswer, func() { p.discard(j) })
	}
}

// discard cancels a job and deletes its answer.
func (p *process) discard(j *job) {
	j.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batch.remove(j)
	if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
	}
}

// cancelJobs cancels and deletes all jobs. It must be called with the lock held.
func (p *process) cancelJobs() {
	for _, j := range p.jobs {
		j.cancel()
	}
	clear(p.jobs)
	p.batch = batch{size: p.batch.size}
}
