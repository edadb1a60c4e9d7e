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

// submit runs a request and answers it.
func (l *life) submit(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	a, err := readAsk(body, strings.HasPrefix(r.URL.Path, "/v1/chat/"))
	if err != nil {
		notRun(w, http.StatusBadRequest, err.Error())
		return
	}
	a.stream = a.stream || r.Header.Get("Accept") == "text/event-stream"
	j := newJob(l, r.Header.Get(engine.HeaderRequest), a)
	j.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	j.alone = r.Header.Get(engine.HeaderAlone) != ""
	j.fence = r.Header.Get(engine.HeaderFence)
	if status, reason := l.begin(j); reason != "" {
		j.cancel()
		notRun(w, status, reason)
		return
	}
	if a.stream {
		l.stream(w, r, j, 0)
		return
	}
	l.answer(w, r, j)
}

// begin takes a job in, or returns the status and reason of its refusal. A
// request above what the engine bears crashes it.
func (l *life) begin(j *job) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortIfOver()
	if status, reason := l.refusal(j.fence); reason != "" {
		return status, reason
	}
	if bears := l.bears(); bears < l.engine.options.Full && l.batch.progress() >= bears {
		note := fmt.Sprintf("%d in progress, %d borne", l.batch.progress()+1, bears)
		l.engine.violate(Violation{Breach: Overload, Request: j.id, Note: note, At: j.arrived})
		l.engine.crash(l)
		l.abortIfOver()
	}
	if l.batch.progress() >= l.engine.options.Size+l.engine.options.Queue {
		return http.StatusServiceUnavailable, "the queue is full"
	}
	l.jobs[j.id] = j
	j.attach()
	l.batch.add(j)
	l.measure()
	l.engine.tasks.Go(func() { l.run(j) })
	return 0, ""
}

// refusal is called with the lock held.
func (l *life) refusal(fence string) (int, string) {
	switch {
	case l.state() != engine.Ready:
		return http.StatusServiceUnavailable, "the endpoint is " + string(l.state())
	case l.order.Rank != 0:
		return http.StatusServiceUnavailable, "another member takes the requests"
	case !l.engine.options.Ignore && fence != strconv.FormatUint(l.order.Fence, 10):
		return http.StatusConflict, "another fencing number holds"
	default:
		return 0, ""
	}
}

// stream writes the events of a job from an offset on.
func (l *life) stream(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	defer j.detach(l.engine.options.Keep, func() { l.expire(j) })
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	for l.send(w, r, j, l.jumbled(r, j, offset)...) {
		offset++
	}
	l.abortUnlessWhole(j)
}

// jumbled returns the offsets of the events to send in the place of one. The
// end of a stream stays where it is.
func (l *life) jumbled(r *http.Request, j *job, offset int) []int {
	every := l.engine.options.Jumble
	if every == 0 || offset%every < every-1 {
		return []int{offset}
	}
	next, ok := j.at(r.Context(), offset+1)
	if !ok || string(next) == doneData {
		return []int{offset}
	}
	return []int{offset + 1, offset}
}

// send writes the events at some offsets, those behind the end excepted. It
// reports whether the last one was written.
func (l *life) send(w http.ResponseWriter, r *http.Request, j *job, offsets ...int) bool {
	sent := false
	for _, offset := range offsets {
		event, ok := j.at(r.Context(), offset)
		sent = ok && l.engine.awake(r.Context(), l)
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

// abortUnlessWhole breaks the connection of an answer that is not complete.
func (l *life) abortUnlessWhole(j *job) {
	if !j.isWhole() || l.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// answer writes the whole answer of a job at once.
func (l *life) answer(w http.ResponseWriter, r *http.Request, j *job) {
	defer j.detach(l.engine.options.Keep, func() { l.expire(j) })
	j.finished(r.Context())
	l.abortUnlessWhole(j)
	if !l.engine.awake(r.Context(), l) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, j.whole())
}

// finished waits for the end of the job or of the context.
func (j *job) finished(ctx context.Context) {
	for offset := 0; ; offset++ {
		if _, ok := j.at(ctx, offset); !ok {
			return
		}
	}
}

func (j *job) isWhole() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// resume answers with the rest of a stream.
func (l *life) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		notRun(w, http.StatusBadRequest, "offset is not a number of events")
		return
	}
	l.mu.Lock()
	j := l.jobs[r.PathValue("id")]
	known := j != nil && (j.fence == r.Header.Get(engine.HeaderFence) || l.engine.options.Ignore)
	if known {
		j.attach()
	}
	l.mu.Unlock()
	switch {
	case j == nil:
		http.Error(w, "no such stream", http.StatusNotFound)
	case !known:
		http.Error(w, "the stream has another fencing number", http.StatusConflict)
	default:
		l.stream(w, r, j, offset)
	}
}

// remove cancels a request.
func (l *life) remove(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	j := l.jobs[r.PathValue("id")]
	l.mu.Unlock()
	if j == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	l.forget(j)
	writeJSON(w, struct{}{})
}

// events answers with the cache events after a sequence.
func (l *life) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a sequence", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	feed := engine.Feed{Boot: l.boot, Events: l.cache.since(after)}
	l.mu.Unlock()
	writeJSON(w, feed)
}
