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

// complete runs a request and answers it.
func (l *life) complete(w http.ResponseWriter, r *http.Request) {
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
	if status, reason := l.begin(j, r.Header.Get(engine.HeaderFence)); reason != "" {
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
func (l *life) begin(j *job, fence string) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortIfOver()
	if status, reason := l.refusal(fence); reason != "" {
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
	defer j.detach(l.engine.options.Keep, func() { l.forget(j) })
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for ; ; offset++ {
		event, ok := j.at(r.Context(), offset)
		if !ok {
			break
		}
		if !l.engine.awake(r.Context(), l) {
			break
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, event); err != nil {
			break
		}
		_ = flusher.Flush()
	}
	l.abortUnlessWhole(j)
}

// abortUnlessWhole breaks the connection of an answer that is not complete.
func (l *life) abortUnlessWhole(j *job) {
	if !j.isWhole() || l.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// answer writes the whole answer of a job at once.
func (l *life) answer(w http.ResponseWriter, r *http.Request, j *job) {
	defer j.detach(l.engine.options.Keep, func() { l.forget(j) })
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
	status, reason := l.refusal(r.Header.Get(engine.HeaderFence))
	if j != nil && reason == "" {
		j.attach()
	}
	l.mu.Unlock()
	switch {
	case j == nil:
		http.Error(w, "no such stream", http.StatusNotFound)
	case reason != "":
		http.Error(w, reason, status)
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
