package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/simul"
)

// The checks report what the rules count and nothing else. Times are seconds after
// the load began; SIGTERM came to daemon 0 at 10 s.
func TestLossesThatCount(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	act := func(deed simul.Deed, seconds float64) simul.Act {
		return simul.Act{Deed: deed, Runner: "r0", At: at(seconds).UnixMicro()}
	}
	at1 := func(deed simul.Deed, seconds float64) simul.Act {
		return simul.Act{Deed: deed, Runner: "r1", At: at(seconds).UnixMicro()}
	}
	ran := func(from, to float64) []simul.Act { return []simul.Act{act(simul.Ran, from), act(simul.Ended, to)} }
	broke := []simul.Act{act(simul.Ran, 11), act(simul.Broke, 12), act(simul.Ended, 12)}
	failed := []simul.Act{act(simul.Ran, 12), {Deed: simul.Gave, Runner: "r0", At: at(13).UnixMicro(), Status: 500}, act(simul.Ended, 13)}
	stop := faultSpan{step: Step{Fault: StopDaemon}, from: at(10)}
	for _, c := range []struct {
		name        string
		sent, ended float64
		ending      ending
		acts        []simul.Act
		faults      []faultSpan
		want        string // how the report begins, empty for none
	}{
		{"answered", 11, 12, answered, ran(11, 12), nil, ""},
		{"closed while an endpoint was at work", 11, 12, closed, ran(11, 12), nil, "LOST: no whole answer around SIGTERM"},
		{"passed on and closed at once", 11, 11.1, closed, ran(11, 11.1), nil, "LOST: no whole answer around SIGTERM"},
		{"read and closed late", 11, 11.3, closed, nil, nil, "LOST: no whole answer around SIGTERM"},
		{"crossed by the close", 13.5, 13.6, closed, nil, nil, ""},
		{"not read", 13.5, 17.3, reset, nil, nil, ""},
		{"passed on and reset", 13.5, 17.3, reset, ran(13.5, 17.3), nil, "LOST: no whole answer around SIGTERM"},
		{"passed on, not run, and closed at once", 11, 11.1, closed, []simul.Act{act(passedOn, 11)}, nil, "LOST: no whole answer around SIGTERM"},
		{"passed on to an endpoint that was killed", 11, 11.1, closed, []simul.Act{act(passedOn, 11)}, []faultSpan{{step: Step{Fault: KillRunner}, from: at(11)}}, ""},
		{"broken off by the endpoint", 11, 12, closed, broke, nil, ""},
		{"broken off, then failed elsewhere", 11, 14, closed, append(append([]simul.Act{}, broke...), failed...), nil, ""},
		{"left by the daemon, then failed elsewhere", 11, 14, closed, append(ran(11, 11.5), failed...), nil, "LOST: no whole answer around SIGTERM"},
		{"left by the daemon, then broken off elsewhere", 10, 14, closed, append(ran(10, 10.5), broke...), nil, ""},
		{"broken off, after a second endpoint was given up", 10, 14, closed, []simul.Act{act(simul.Ran, 10), at1(simul.Ran, 10.5), at1(simul.Ended, 10.7), act(simul.Broke, 12), act(simul.Ended, 12)}, nil, ""},
		{"left by the daemon for a second endpoint, then closed", 10, 14, closed, []simul.Act{act(simul.Ran, 10), at1(simul.Ran, 10.5), act(simul.Broke, 10.7), act(simul.Ended, 10.7), at1(simul.Ended, 12)}, nil, "LOST: no whole answer around SIGTERM"},
		{"broken off, then run elsewhere", 11, 14, closed, append(append([]simul.Act{}, broke...), ran(12, 14)...), nil, "LOST: no whole answer around SIGTERM"},
		{"endpoint at work at the end of the grace", 12.9, 17.3, closed, ran(12.9, 17.3), nil, ""},
		{"the same, sent too late", 13.1, 17.3, closed, ran(13.1, 17.3), nil, "LOST: no whole answer around SIGTERM"},
		{"the endpoint lost the answer", 12, 17.3, closed, []simul.Act{act(simul.Ran, 12), act(simul.Lost, 12.5), act(simul.Ended, 17.3)}, nil, "LOST: no whole answer around SIGTERM"},
		{"deadline reached", 5, 11, closed, ran(5, 11), nil, ""},
		{"daemon killed", 11, 12, reset, ran(11, 12), []faultSpan{{step: Step{Fault: KillDaemon}, from: at(12)}}, ""},
		{"another daemon killed", 11, 12, reset, ran(11, 12), []faultSpan{{step: Step{Fault: KillDaemon, Target: 1}, from: at(12)}}, "LOST: no whole answer around SIGTERM"},
		{"its endpoint killed", 11, 12, closed, ran(11, 12), []faultSpan{{step: Step{Fault: KillRunner}, from: at(12)}}, ""},
		{"another endpoint killed", 11, 12, closed, ran(11, 12), []faultSpan{{step: Step{Fault: KillRunner, Target: 1}, from: at(12)}}, "LOST: no whole answer around SIGTERM"},
		{"store down", 11, 12, closed, ran(11, 12), []faultSpan{{step: Step{Fault: StoreDown}, from: at(11)}}, "LOST: no whole answer around SIGTERM"},
		{"after SIGHUP", 6, 7, closed, ran(6, 7), []faultSpan{{step: Step{Fault: Hangup}, from: at(5)}}, "LOST: no whole answer around SIGHUP"},
		{"at another time", 6, 7, closed, ran(6, 7), nil, "LOST: cut off without a cause"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			system := &cluster{began: began, faults: append(c.faults, stop)}
			for _, name := range []string{"r0", "r1"} {
				system.runners = append(system.runners, &runner{proc: proc{name: name}})
			}
			rec := record{path: talkPath, deadline: deadline, kept: true, sent: at(c.sent), written: at(c.sent), ended: at(c.ended), ending: c.ending}
			got := evidence{cluster: system, acts: c.acts}.checkWhole(rec)
			is.Equal(got, c.want)
		})
	}
}

// An answer counts as the request's own only by its id, its signature and its content.
func TestAnswersThatAreMixed(t *testing.T) {
	own := record{id: "a", path: filePath, status: 200, echo: "a", signature: "s", body: simul.PlainBody("r0", "a")}
	given := map[string]simul.Act{
		"s": {Runner: "r0", ID: "a", Status: 200}, "other": {Runner: "r0", ID: "b", Status: 200}, "failed": {Runner: "r0", ID: "a", Status: 500},
	}
	for _, c := range []struct {
		name   string
		change func(*record)
		want   string
	}{
		{"its own", func(*record) {}, ""},
		{"a refusal by the daemon", func(r *record) { r.status, r.signature, r.body = 503, "", "full" }, ""},
		{"another id", func(r *record) { r.echo = "b" }, "MIXED: another request's id"},
		{"another request's signature", func(r *record) { r.signature = "other" }, "MIXED: another request's answer"},
		{"a signature that no endpoint gave", func(r *record) { r.signature = "x" }, "MIXED: unknown signature"},
		{"a success without a signature", func(r *record) { r.signature = "" }, "MIXED: a success that no endpoint signed"},
		{"a success of a failure", func(r *record) { r.signature = "failed" }, "MIXED: another status"},
		{"a failure with another status", func(r *record) { r.signature, r.status = "failed", 504 }, "MIXED: another status"},
		{"another request's body", func(r *record) { r.body = simul.PlainBody("r0", "b") }, "MIXED: not the endpoint's whole body"},
		{"looks whole", func(r *record) { r.body = r.body[:100] }, "MIXED: not the endpoint's whole body"},
		{"ends early and shows it", func(r *record) { r.body, r.ending = r.body[:100], closed }, ""},
		{"another body that ends early", func(r *record) { r.body, r.ending = "done by r0 for b", closed }, "ORDER"},
		{"no answer in the protocol", func(r *record) { r.ending = malformed }, "MIXED: bytes that are no answer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rec := own
			c.change(&rec)
			got := evidence{cluster: &cluster{given: given}}.checkAnswer(rec)
			is.True(strings.HasPrefix(got, c.want))
			is.Equal(got == "", c.want == "")
		})
	}
}
