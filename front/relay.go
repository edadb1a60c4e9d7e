package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/reach"
	"clementinehead.example/chead/site"
)

// A daemon that is cut off from endpoints sends its callers' requests through another one,
// which treats them as its callers' own: it checks the key, queues, limits and retries. It
// sends none of them on to a third daemon. The first one passes the answer on, and doesn't
// send a request again that may have run there.
//
// The other daemon may go by a newer configuration. As long as the first one doesn't hold it,
// it goes on sending its callers' requests through others that do, though it reaches endpoints
// again.

const (
	versionWait = 700 * time.Millisecond  // longest wait for a version of the configuration that another daemon goes by
	versionPoll = 20 * time.Millisecond   // between two looks
	readAge     = 2600 * time.Millisecond // a snapshot that is older isn't renewed, as the store isn't reached
)

// ServeRelayed serves a request that another daemon sent here, with what that one states of
// it.
func (f *Front) ServeRelayed(w http.ResponseWriter, r *http.Request, relay platform.Relay) {
	j := &job{w: w, r: r, id: r.Header.Get(platform.HeaderRequest), arrived: time.Now(), relay: relay}
	f.jobs.add(j)
	defer f.remove(j)
	f.awaitVersion(r.Context(), relay.Version)
	platform.SetRelayVersion(w.Header(), f.version())
	refused := f.refuseRelayed(relay)
	if refused == nil {
		refused = f.admitUnlessStopped(j)
	}
	if refused != nil {
		f.refuse(j, refused)
		return
	}
	f.serve(j) // the daemon that the caller sent it to counts it in the budget
}

// refuseRelayed returns the refusal of any relayed request, or nil.
func (f *Front) refuseRelayed(relay platform.Relay) *refusal {
	switch {
	case f.options.Reach.State() == reach.Cut:
		return &refusal{http.StatusServiceUnavailable, "cut off from endpoints", defaultRetryAfter, true}
	case f.version() < relay.Version:
		return &refusal{http.StatusServiceUnavailable, "configuration too old", defaultRetryAfter, true}
	}
	return nil
}

// version returns the version of the configuration in force, 0 if there is none.
func (f *Front) version() int64 {
	if c := f.options.Snapshot().Config; c != nil {
		return c.Version
	}
	return 0
}

// awaitVersion reports whether the configuration is at least as new as a version by which this
// daemon or another one handled requests of its callers: no later one may be handled by an
// older version. It waits for that version while the store is read, from where it comes.
func (f *Front) awaitVersion(ctx context.Context, version int64) bool {
	for end := time.Now().Add(versionWait); f.version() < version; {
		if time.Now().After(end) || f.options.SnapshotAge() > readAge || !clock.Sleep(ctx, versionPoll) {
			return false
		}
	}
	return true
}

// noteVersion records the version by which another daemon handled a request.
func (f *Front) noteVersion(version int64) {
	for {
		newest := f.newest.Load()
		if version <= newest || f.newest.CompareAndSwap(newest, version) {
			return
		}
	}
}

// receiveRelayed sends the request to the daemon of the slot and reads the answer, as
// receive does for an endpoint. That daemon has retried and limited the request, so that its
// answer is passed on as it is.
func (x *exchange) receiveRelayed() result {
	f, j := x.front, x.job
	conn, err := f.options.Pool.Get(x.ctx, x.slot.Endpoint.Address, j.needsNewConnection())
	if err != nil {
		if x.ctx.Err() == nil {
			x.slot.Suspect()
		}
		return x.fail(notRun, "no connection to the daemon", err)
	}
	if j.left() { // while the connection was opened
		_ = conn.Close()
		return x.fail(notRun, errLeft.Error(), nil)
	}
	x.record.served = conn.Served
	resp, err := f.options.Pool.Send(x.ctx, conn, f.relayedRequest(j, x.from))
	if err != nil {
		return x.breaksOff("no answer of the daemon", err)
	}
	x.resp = resp
	if err := x.ownAnswer(); errors.Is(err, errOtherAnswer) {
		j.tries.useUp(j.route.Attempts)
		return x.fail(unknown, errOtherAnswer.Error(), nil)
	} else if err != nil {
		return x.breaksOff("no answer of the daemon", err)
	}
	x.cause = strconv.Itoa(resp.StatusCode)
	if elsewhere, sent := platform.Elsewhere(resp.Header); elsewhere {
		if sent {
			j.progress.sends.Add(1) // an endpoint had the request, so that the next send is a retry
		}
		x.slot.Suspect()
		return notRun
	}
	f.noteVersion(platform.RelayVersion(resp.Header))
	if j.route.Repeat == site.Streaming && resp.StatusCode == http.StatusOK {
		return x.readFirst()
	}
	return x.readRelayed()
}

// readRelayed reads the body of an answer that is not streamed. The other daemon's own
// refusal is not passed on if another send of the request may have run, or run yet: it says
// that the request has not run.
func (x *exchange) readRelayed() result {
	body, err := x.readAnswer()
	if err != nil {
		return x.notWhole(err)
	}
	x.slot.Progress(false)
	x.answer = response{x.resp.StatusCode, platform.Incoming(x.resp.Header), body}
	_, ran := x.job.tries.counts()
	if ran > 1 && !platform.Signed(x.resp.Header) && platform.SaysNotRun(x.resp.StatusCode) {
		return notRun
	}
	if x.from.headSent {
		x.job.tries.useUp(x.job.route.Attempts)
		x.job.tries.keep(x.answer)
		return failed
	}
	return answered
}

// relayedRequest returns the request to be sent to another daemon, for the answer from a
// point on.
func (f *Front) relayedRequest(j *job, from point) conns.Request {
	_, ran := j.tries.counts()
	h := platform.Relayed(j.r.Header, platform.Relay{
		Daemon: f.options.Self, Attempts: max(1, j.route.Attempts-(ran-1)), // of those that ran one is this try
		Resumed: from.headSent, Version: max(f.version(), f.newest.Load()),
	}, j.remaining()-deadlineMargin)
	if from.lastID != "" {
		h.Set(platform.HeaderLastEvent, from.lastID)
	}
	return conns.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}
