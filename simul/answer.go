package simul

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	signatureHeader = "X-Server-Signature"
	maxSecondDelay  = 2 * time.Second // until the second answer of a runner that stutters
	plainLines      = 100             // of the named body of a plain call, which is then longer than usual buffers
)

// run is one run of a request.
type run struct {
	id      string
	fault   fault
	chances *rand.Rand
	w       http.ResponseWriter
	conn    *runnerConn // nil if the runner was not started by Serve
	padding string      // before each event of a stream
	last    int         // number of the last event that the caller has received
}

// serve runs a request. A model runner answers with a stream, an application runner
// with a text. A request that finds all slots in use is refused as not run. A run
// ends at the request's deadline, or when its connection ends.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	r.act(Came, id, 0, "")
	r.mu.Lock()
	if r.options.Fabric != "" && (r.group == nil || r.group.State != "open" || r.group.Rank != 0) {
		r.mu.Unlock()
		r.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	fault, chances := r.options.Faults.draw(r.options.ID, id, r.runs[id])
	if r.active >= r.options.Slots || fault == busy && !r.options.Faults.calm(time.Now()) {
		r.mu.Unlock()
		r.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	r.active++
	r.runs[id]++
	r.mu.Unlock()
	if r.options.OnRun != nil {
		r.options.OnRun(id)
	}
	r.act(Ran, id, 0, "")
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
		r.act(Ended, id, 0, "")
	}()
	body := r.readBody(q.Body)
	ctx := q.Context()
	if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	conn, _ := ctx.Value(connKey{}).(*runnerConn)
	received, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	u := &run{id: id, fault: fault, chances: chances, w: w, conn: conn, padding: padding(body), last: received}
	if r.crashesAt(q.Header.Get(promptHeader)) {
		crashTime := r.options.Event + minCrashTime + time.Duration(chances.Int64N(int64(maxCrashTime-minCrashTime)))
		time.AfterFunc(crashTime, r.options.OnCrash)
	}
	r.answer(ctx, u)
}

// Times from about the first event of an answer to the crash of its runner.
const (
	minCrashTime = 20 * time.Millisecond
	maxCrashTime = 90 * time.Millisecond
)

// crashesAt reports whether a prompt has the part at which the runner crashes.
func (r *Runner) crashesAt(prompt string) bool {
	return r.options.Crash != "" && strings.Contains(","+prompt, ","+r.options.Crash+":")
}

// refuse answers that a request has not run.
func (r *Runner) refuse(w http.ResponseWriter, id string, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("X-Not-Executed", "1")
	}
	r.head(w.Header(), id, status)
	w.WriteHeader(status)
}

// head fills in the header of an answer and reports that it is given.
func (r *Runner) head(h http.Header, id string, status int) {
	r.mu.Lock()
	r.given++
	signature := fmt.Sprintf("%s.%x.%d", r.options.ID, r.born, r.given)
	limit := r.statedLimit()
	r.mu.Unlock()
	if limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	h.Set("X-Request-Id", id)
	h.Set(signatureHeader, signature)
	r.note(Act{Deed: Gave, ID: id, Status: status, Signature: signature, Limit: limit})
}

// answer answers a run, as its fault has it.
func (r *Runner) answer(ctx context.Context, u *run) {
	work := r.pause(u)
	switch u.fault {
	case expire:
		work = time.Hour
	case lose:
		work = 0
	}
	if !sleep(ctx, work) {
		r.expire(ctx, u)
		return
	}
	switch {
	case u.fault == lose:
		r.act(Lost, u.id, 0, "")
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case u.fault == fail:
		r.fail(u, http.StatusInternalServerError)
	case r.options.Fabric == "":
		r.text(u)
	default:
		r.stream(ctx, u)
	}
	if u.conn != nil {
		u.conn.resetAtEnd(false)
	}
	if u.fault == stutter && u.conn != nil {
		u.conn.sendLater(r.second(u), time.Duration(u.chances.Int64N(int64(maxSecondDelay))))
	}
}

// expire ends a run that has not begun its answer: with a failure at the deadline,
// with nothing if the connection has ended.
func (r *Runner) expire(ctx context.Context, u *run) {
	if ctx.Err() == context.DeadlineExceeded {
		r.fail(u, http.StatusGatewayTimeout)
	}
}

// fail answers that a run failed.
func (r *Runner) fail(u *run, status int) {
	r.head(u.w.Header(), u.id, status)
	u.w.WriteHeader(status)
	_, _ = io.WriteString(u.w, FailureBody(u.id))
}

// text answers a plain call.
func (r *Runner) text(u *run) {
	r.head(u.w.Header(), u.id, http.StatusOK)
	body := "done by " + r.options.ID
	if r.options.Named {
		body = PlainBody(r.options.ID, u.id)
	}
	if u.leavesLengthOut() {
		u.unsize()
	} else {
		u.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if u.breaks() {
		r.breakOff(u, body[:u.chances.IntN(len(body))])
	}
	_, _ = io.WriteString(u.w, body)
}

// stream writes the events of a stream after the last one that the caller has
// received. The time until the first has passed.
func (r *Runner) stream(ctx context.Context, u *run) {
	u.w.Header().Set("Content-Type", "text/event-stream")
	if u.leavesLengthOut() {
		u.unsize()
	}
	r.head(u.w.Header(), u.id, http.StatusOK)
	breakAt := 0 // event in which the stream is broken off, 0 for none
	if u.breaks() && u.last < r.options.Events {
		breakAt = u.last + 1 + u.chances.IntN(r.options.Events-u.last)
	}
	for i := u.last + 1; i <= r.options.Events; i++ {
		text := u.padding + Event(i, r.name(u.id))
		if i == breakAt {
			r.breakOff(u, text[:u.chances.IntN(len(text))])
		}
		if _, err := io.WriteString(u.w, text); err != nil {
			return
		}
		if err := http.NewResponseController(u.w).Flush(); err != nil {
			return
		}
		if i == r.options.Events || sleep(ctx, r.pause(u)) {
			continue
		}
		if ctx.Err() == context.DeadlineExceeded {
			r.breakOff(u, "")
		}
		panic(http.ErrAbortHandler) // the caller has closed the connection
	}
}

// name returns the name of a request for the body of its answer.
func (r *Runner) name(id string) string {
	if r.options.Named {
		return id
	}
	return ""
}

// pause returns the time until the next event, or of a plain call.
func (r *Runner) pause(u *run) time.Duration {
	d := r.options.Event
	if spread := r.options.EventMax - d; spread > 0 {
		d += time.Duration(u.chances.Int64N(int64(spread)))
	}
	return d
}

// breaks reports whether an answer is broken off on the way.
func (u *run) breaks() bool { return u.fault == reset || u.fault == truncate }

// leavesLengthOut reports whether an answer has no length. Every second one that is
// reset has none either, so that only the reset shows that it is not complete.
func (u *run) leavesLengthOut() bool {
	return u.fault == unsized || u.fault == reset && u.chances.IntN(2) == 0
}

// unsize lets an answer end with its connection, which is reset unless the answer is
// complete, also if the process is killed: nothing else tells that from its end.
func (u *run) unsize() {
	u.w.Header().Set("Transfer-Encoding", "identity")
	if u.conn != nil {
		u.conn.resetAtEnd(true)
	}
}

// breakOff sends the rest of what is sent of an answer and ends the connection. It
// does not return.
func (r *Runner) breakOff(u *run, rest string) {
	r.act(Broke, u.id, 0, "")
	_, _ = io.WriteString(u.w, rest)
	_ = http.NewResponseController(u.w).Flush() // the connection may have ended
	if u.fault == reset && u.conn != nil {
		u.conn.reset()
	}
	panic(http.ErrAbortHandler)
}

// second returns the second answer of a run.
func (r *Runner) second(u *run) []byte {
	statuses := []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout}
	status := statuses[u.chances.IntN(len(statuses))]
	h := http.Header{}
	r.head(h, u.id, status)
	body := FailureBody(u.id)
	switch {
	case status == http.StatusServiceUnavailable:
		h.Set("X-Not-Executed", "1")
	case status == http.StatusOK && r.options.Fabric == "":
		body = PlainBody(r.options.ID, u.id)
	case status == http.StatusOK:
		h.Set("Content-Type", "text/event-stream")
		body = NamedStreamBody(r.options.Events, r.name(u.id))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = h.Write(&b) // a builder does not fail
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

// sleep waits, and reports whether the context has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return ctx.Err() == nil
	}
}
