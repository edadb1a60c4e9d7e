package fakes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"clementinehead.example/chead/engine"
)

// handleCompletion runs a request and writes its answer.
func (p *process) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	parsed, err := parseRequest(body, strings.HasPrefix(r.URL.Path, "/v1/chat/"))
	if err != nil {
		refuseUnrun(w, http.StatusBadRequest, err.Error())
		return
	}
	parsed.stream = parsed.stream || r.Header.Get("Accept") == "text/event-stream"
	j := newJob(p, r.Header.Get(engine.HeaderRequest), parsed)
	j.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	j.alone = r.Header.Get(engine.HeaderAlone) != ""
	j.fence = r.Header.Get(engine.HeaderFence)
	if status, reason := p.admit(j); reason != "" {
		j.cancel()
		refuseUnrun(w, status, reason)
		return
	}
	if parsed.stream {
		p.writeStream(w, r, j, 0)
		return
	}
	p.writeAnswer(w, r, j)
}

// admit queues a job, or returns the status and reason of its refusal. A request
// above the engine's capacity crashes the engine.
func (p *process) admit(j *job) (int, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortIfStopped()
	if status, reason := p.refusal(j.fence); reason != "" {
		return status, reason
	}
	if capacity := p.capacity(); capacity < p.engine.options.WarmLimit && p.batch.inProgress() >= capacity {
		note := fmt.Sprintf("%d in progress, %d borne", p.batch.inProgress()+1, capacity)
		p.engine.recordViolation(Violation{Breach: Overload, Request: j.id, Note: note, At: j.arrived})
		p.engine.crash(p)
		p.abortIfStopped()
	}
	if p.batch.inProgress() >= p.engine.options.Size+p.engine.options.Queue {
		return http.StatusServiceUnavailable, "the queue is full"
	}
	p.jobs[j.id] = j
	j.addReader()
	p.batch.add(j)
	p.updateLoad()
	p.engine.tasks.Go(func() { p.run(j) })
	return 0, ""
}

// refusal returns the status and reason for refusing a request with a fencing
// number, or an empty reason. It must be called with the lock held.
func (p *process) refusal(fence string) (int, string) {
	switch {
	case p.state() != engine.Ready:
		return http.StatusServiceUnavailable, "the endpoint is " + string(p.state())
	case p.order.Rank != 0:
		return http.StatusServiceUnavailable, "another member takes the requests"
	case !p.engine.options.IgnoreFence && fence != strconv.FormatUint(p.order.Fence, 10):
		return http.StatusConflict, "another fencing number holds"
	default:
		return 0, ""
	}
}

// writeStream writes the events of a job from an offset on.
func (p *process) writeStream(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	defer j.removeReader(p.engine.options.AbandonAfter, func() { p.expire(j) })
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	for p.writeEvents(w, r, j, p.reordered(r, j, offset)...) {
		offset++
	}
	p.abortUnlessComplete(j)
}

// reordered returns the offsets of the events to send in place of one. The last
// event of a stream keeps its place.
func (p *process) reordered(r *http.Request, j *job, offset int) []int {
	every := p.engine.options.Reorder
	if every == 0 || offset%every < every-1 {
		return []int{offset}
	}
	next, ok := j.eventAt(r.Context(), offset+1)
	if !ok || string(next) == doneData {
		return []int{offset}
	}
	return []int{offset + 1, offset}
}

// writeEvents writes the events at some offsets, except those beyond the end. It
// reports whether the last of them was written.
func (p *process) writeEvents(w http.ResponseWriter, r *http.Request, j *job, offsets ...int) bool {
	sent := false
	for _, offset := range offsets {
		event, ok := j.eventAt(r.Context(), offset)
		sent = ok && p.engine.awaitResume(r.Context(), p)
		if !sent {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, event); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return sent
}

// abortUnlessComplete breaks the connection if the answer is not complete.
func (p *process) abortUnlessComplete(j *job) {
	if !j.isComplete() || p.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeAnswer writes the answer of a job when it is complete.
func (p *process) writeAnswer(w http.ResponseWriter, r *http.Request, j *job) {
	defer j.removeReader(p.engine.options.AbandonAfter, func() { p.expire(j) })
	j.awaitEnd(r.Context())
	p.abortUnlessComplete(j)
	if !p.engine.awaitResume(r.Context(), p) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, j.fullAnswer())
}

// awaitEnd waits until all events are present, the job is cancelled or ctx ends.
func (j *job) awaitEnd(ctx context.Context) {
	for offset := 0; ; offset++ {
		if _, ok := j.eventAt(ctx, offset); !ok {
			return
		}
	}
}

// isComplete reports whether all events are present.
func (j *job) isComplete() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// handleResume writes the rest of a stream from the offset in the query.
func (p *process) handleResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		refuseUnrun(w, http.StatusBadRequest, "offset is not a number of events")
		return
	}
	p.mu.Lock()
	j := p.jobs[r.PathValue("id")]
	known := j != nil && (j.fence == r.Header.Get(engine.HeaderFence) || p.engine.options.IgnoreFence)
	if known {
		j.addReader()
	}
	p.mu.Unlock()
	switch {
	case j == nil:
		http.Error(w, "no such stream", http.StatusNotFound)
	case !known:
		http.Error(w, "the stream has another fencing number", http.StatusConflict)
	default:
		p.writeStream(w, r, j, offset)
	}
}

// handleCancel cancels a request.
func (p *process) handleCancel(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	j := p.jobs[r.PathValue("id")]
	p.mu.Unlock()
	if j == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	p.discard(j)
	writeJSON(w, struct{}{})
}

// handleEvents answers with the visible cache events after a sequence number.
func (p *process) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a sequence", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	feed := engine.Feed{Boot: p.boot, Events: p.cache.eventsSince(after)}
	p.mu.Unlock()
	writeJSON(w, feed)
}
