package entry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

const (
	maxAsks     = 4               // replicas that are asked for a permit that is free at once
	maxInterim  = 2               // daemons that are asked where a gate is out of reach
	askLimit    = 2 * time.Second // beyond the wait, for an answer
	defaultBack = time.Second     // when to come back where no gate said so
)

// errNobody is the cause where no replica may be asked.
var errNobody = errors.New("no replica serves")

// acquisition is the search for one permit.
type acquisition struct {
	entry   *Entry
	job     *job
	crashes []string // that the request stood in, as gates name them
	alone   bool
	busy    bool          // a gate said that it is
	back    time.Duration // the shortest time after which one may not be
	best    view.Place    // the replica of that one
	limited *Error        // a gate's word that the account is over its part of the rate there
}

// acquire asks the gates of the replicas in turn for a permit. Replicas that
// failed the job are asked last.
func (t *trial) acquire(ctx context.Context) (*permit, *Error) {
	e, j := t.entry, t.job
	v := e.options.View()
	places := e.options.Order(v, j.account, j.prompt.model, j.prompt.prefix, e.options.Domain)
	places = t.sort(places)
	if len(places) == 0 {
		return nil, unavailable(errNobody)
	}
	a := &acquisition{entry: e, job: j, crashes: t.crashes, alone: t.suspect}
	for _, place := range places[:min(len(places), maxAsks)] {
		p, err := a.ask(ctx, place, 0)
		if p != nil || err != nil {
			return p, err
		}
	}
	return a.wait(ctx, time.Duration(v.Document.Limits.Wait))
}

// sort puts the replicas that failed the job, or others lately, behind the rest.
func (t *trial) sort(places []view.Place) []view.Place {
	if len(t.avoid) == 0 && t.entry.ejected.empty() {
		return places
	}
	var first, rest []view.Place
	for _, place := range places {
		if t.avoid[place.Replica.ID] || t.entry.ejected.has(place.Replica.ID) {
			rest = append(rest, place)
		} else {
			first = append(first, place)
		}
	}
	return append(first, rest...)
}

// wait queues at the gate that has a permit first, where all are busy and that
// one has it in time.
func (a *acquisition) wait(ctx context.Context, most time.Duration) (*permit, *Error) {
	switch {
	case !a.busy && a.limited != nil:
		return nil, a.limited
	case !a.busy:
		return nil, unavailable(errNobody)
	}
	most = min(most, time.Until(a.job.deadline))
	if most > 0 && a.back <= most {
		p, err := a.ask(ctx, a.best, most)
		if p != nil || err != nil {
			return p, err
		}
	}
	err := reject("acquire", Busy, nil)
	err.Retry = max(a.back, defaultBack)
	return nil, err
}

func unavailable(cause error) *Error {
	err := reject("acquire", Unavailable, cause)
	err.Retry = defaultBack
	return err
}

// ask asks for a permit of one replica: its gate first, and where that is out
// of reach or isn't the gate any more, the daemons that stand in for it. It
// returns neither a permit nor an error where another replica may be asked.
func (a *acquisition) ask(ctx context.Context, place view.Place, wait time.Duration) (*permit, *Error) {
	p, err, answered := a.askAt(ctx, place, place.Replica.Gate, wait)
	if answered || err != nil {
		return p, err
	}
	for _, id := range a.entry.interim(place) {
		p, err, answered = a.askAt(ctx, place, id, wait)
		if answered || err != nil {
			return p, err
		}
	}
	return nil, nil
}

// askAt asks one daemon. Answered tells a gate's word from a daemon that can't
// be asked or isn't the gate.
func (a *acquisition) askAt(ctx context.Context, place view.Place, id string, wait time.Duration) (p *permit, err *Error, answered bool) {
	if err := a.entry.over(ctx, a.job); err != nil {
		return nil, err, false
	}
	address, ok := a.entry.peer(id)
	if !ok {
		return nil, nil, false
	}
	gate := a.entry.options.Gate(address)
	asked := time.Now()
	response, failed := a.call(ctx, gate, place, wait)
	if failed != nil {
		return nil, a.entry.over(ctx, a.job), false
	}
	if response.GetVerdict() == wire.Verdict_VERDICT_NOT_GATE {
		return nil, nil, false
	}
	a.entry.observe(place, response)
	p, err = a.judge(place, gate, asked, response)
	return p, err, true
}

func (a *acquisition) call(ctx context.Context, gate wire.GateClient, place view.Place, wait time.Duration) (*wire.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askLimit)
	defer cancel()
	j := a.job
	return gate.Acquire(ctx, &wire.AcquireRequest{
		Replica:     place.Replica.ID,
		Daemon:      a.entry.options.Self,
		Boot:        a.entry.options.Boot,
		Request:     j.id,
		Account:     j.account,
		Priority:    int32(j.priority),
		Wait:        durationpb.New(wait),
		Tokens:      uint32(j.prompt.tokens),
		Prefix:      j.prompt.prefix,
		Alone:       a.alone,
		Fingerprint: short(j.print),
		Crashes:     a.crashes,
	})
}

// judge turns a gate's answer into a permit, a final error or neither.
func (a *acquisition) judge(place view.Place, gate wire.GateClient, asked time.Time, response *wire.AcquireResponse) (*permit, *Error) {
	switch response.GetVerdict() {
	case wire.Verdict_VERDICT_GRANTED:
		return a.check(place, gate, asked, response), nil
	case wire.Verdict_VERDICT_THROTTLED:
		a.limit(response)
	case wire.Verdict_VERDICT_SUSPECT:
		// Attempts before this one ran, if only in part.
		return nil, &Error{Op: "acquire", Kind: Suspect, Ran: engine.Unknown, Err: text(response)}
	case wire.Verdict_VERDICT_BUSY:
		a.note(place, response.GetRetryAfter().AsDuration())
	}
	return nil, nil
}

// limit remembers the shortest time after which a replica that turned the
// account away for its rate takes it again. Each replica has a part of the
// rate, so others are asked all the same.
func (a *acquisition) limit(response *wire.AcquireResponse) {
	back := max(response.GetRetryAfter().AsDuration(), defaultBack)
	if a.limited != nil && a.limited.Retry <= back {
		return
	}
	a.limited = reject("acquire", Throttled, text(response))
	a.limited.Retry = back
}

// note remembers the replica that has a permit first.
func (a *acquisition) note(place view.Place, back time.Duration) {
	if !a.busy || back < a.back {
		a.back = back
		a.best = place
	}
	a.busy = true
}

func text(response *wire.AcquireResponse) error {
	if response.GetReason() == "" {
		return nil
	}
	return errors.New(response.GetReason())
}

// check returns a permit that is valid for a while yet, counted from before it
// was asked for; one that isn't is given back.
func (a *acquisition) check(place view.Place, gate wire.GateClient, asked time.Time, response *wire.AcquireResponse) *permit {
	p := &permit{
		place:  place,
		gate:   gate,
		number: response.GetPermit(),
		fence:  response.GetFence(),
		target: response.GetAddress(),
		until:  asked.Add(response.GetValidity().AsDuration()),
		alone:  response.GetAlone() || a.alone,
	}
	if p.stale() {
		a.entry.releaseLater(a.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		a.note(place, 0)
		return nil
	}
	return p
}

// interim returns the first of the daemons that stand in for a gate.
func (e *Entry) interim(place view.Place) []string {
	if e.options.Interim == nil {
		return nil
	}
	ids := e.options.Interim(place)
	return ids[:min(len(ids), maxInterim)]
}

// peer returns the peer address of a daemon that isn't dead.
func (e *Entry) peer(id string) (string, bool) {
	d, ok := e.options.Find(id)
	if !ok || d.GetStanding() == wire.Standing_STANDING_DEAD {
		return "", false
	}
	return d.GetPeerAddress(), true
}

func (e *Entry) observe(place view.Place, response *wire.AcquireResponse) {
	if e.options.Observe != nil {
		e.options.Observe(place.Replica.ID, response)
	}
}
