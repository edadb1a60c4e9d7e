package front

import (
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"clementinehead.example/chead/platform"
)

// refuse sends a refusal to the caller and logs it.
func (f *Front) refuse(j *job, r *refusal) {
	if j.digest == "" { // its body has not been read whole
		f.setReadDeadline(j, time.Now().Add(restTime))
	}
	h := j.w.Header()
	f.markLast(h)
	h.Set("Content-Type", "application/json")
	if j.id != "" {
		h.Set(platform.HeaderRequest, j.id)
	}
	if r.elsewhere && j.relay.Daemon != "" {
		platform.SetElsewhere(h, j.progress.sends.Load() > 0)
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(jitter(r.retryAfter).Seconds(), 'f', 3, 64))
	}
	j.w.WriteHeader(r.status)
	_, _ = io.WriteString(j.w, `{"error":"`+r.reason+`"}`+"\n") // fails only if the caller has disconnected
	f.logEnd(j, "refused", r.status, r.reason)
}

// jitter returns d lengthened by a random time of up to its half, so that callers
// that were refused at the same time don't retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}

// logEnd logs the end of a request and counts it in the metrics.
func (f *Front) logEnd(j *job, outcome string, status int, reason string) {
	took := time.Since(j.arrived)
	f.options.Metrics.observeEnd(j.account, outcome, status, took)
	if outcome == "served" && j.late(took) {
		f.options.Metrics.observeLate(j.account)
	}
	if outcome != "served" && j.left() && !f.reached(ending) {
		f.options.Metrics.observeLeft(&j.progress)
	}
	if j.unlogged {
		return
	}
	v := f.options.Snapshot()
	_, ran := j.tries.counts()
	version := int64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	f.options.Log.Info("request "+outcome,
		"id", j.id, "relayed_by", j.relay.Daemon, "route", j.route.Name, "account", j.account, "model", j.model, "status", status, "reason", reason,
		"tried", j.tries.names(), "ran", ran, "served", j.served, "load", j.load, "read_ms", j.prefill.Milliseconds(),
		"events", j.stream.forwarded, "first_ms", j.stream.first.Milliseconds(), "gap_ms", j.stream.longestGap.Milliseconds(), "slow", j.outlet.isSplit(),
		"ahead", j.queue.InTime+j.queue.Late, "fit", j.eligible, "limited", j.queue.Limited, "hidden", j.queue.Hidden, "level", j.queue.Level, "freed", round(j.queue.FreeRate), "arrivals", round(j.queue.ArrivalRate),
		"slack_ms", j.queue.Slack.Milliseconds(), "returned_ms", j.priorTime.Milliseconds(),
		"waited_ms", j.waited.Milliseconds(), "took_ms", took.Milliseconds(),
		"admitted", j.admission.version, "era", j.admission.era, "basis", j.admission.basis, "admitted_age_ms", j.admission.age.Milliseconds(),
		"version", version, "revision", v.Revision, "age_ms", f.options.SnapshotAge().Milliseconds())
}

// late reports whether a request that took a time got its first event, or its answer, after
// the route's target latency.
func (j *job) late(took time.Duration) bool {
	if j.stream.forwarded > 0 {
		took = j.stream.first
	}
	return j.route.TargetLatency > 0 && j.priorTime+took > j.route.TargetLatency
}

// round rounds a rate to one decimal for the log.
func round(v float64) float64 { return math.Round(v*10) / 10 }
