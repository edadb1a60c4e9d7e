package soak

import (
	"net/http"
	"strings"

	"clementinehead.example/chead/simul"
)

// checkAnswer checks that a request got its own answer, as an endpoint gave it: by
// the echoed id, by what the endpoint recorded under the answer's signature, and by
// the content. A stream has each event once and in order, and ends normally only if
// it is complete.
func (e evidence) checkAnswer(rec record) string {
	if rec.ending == malformed {
		return "MIXED: bytes that are no answer"
	}
	if rec.status == 0 {
		return ""
	}
	if rec.echo != "" && rec.echo != rec.id {
		return "MIXED: another request's id"
	}
	if rec.signature == "" {
		if rec.status < http.StatusMultipleChoices {
			return "MIXED: a success that no endpoint signed"
		}
		return ""
	}
	given, found := e.cluster.given[rec.signature]
	switch {
	case !found:
		return "MIXED: unknown signature"
	case given.ID != rec.id:
		return "MIXED: another request's answer, " + given.ID
	case given.Status != rec.status:
		return "MIXED: another status than the endpoint gave"
	}
	return e.checkBody(rec, given.Runner)
}

// checkBody checks the body of an answer, of which the signature is that of a
// runner.
func (e evidence) checkBody(rec record, runner string) string {
	want := simul.FailureBody(rec.id)
	switch {
	case rec.status != http.StatusOK:
	case routes[rec.path].stream:
		want = simul.NamedStreamBody(e.cluster.traits.events, rec.id)
	default:
		want = simul.PlainBody(runner, rec.id)
	}
	if rec.ending == answered && rec.body != want {
		return "MIXED: not the endpoint's whole body"
	}
	if !strings.HasPrefix(want, rec.body) {
		return "ORDER: events missing or twice, or another body"
	}
	return ""
}
