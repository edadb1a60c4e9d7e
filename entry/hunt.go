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

// hunt is the search for one permit.
type hunt struct {
	entry   *Entry
	job     *job
	crashes []string // that the request stood in, as gates name them
	alone   bool
	busy    bool          // a gate said that it is
	back    time.Duration // the shortest time after which one may not be
	best    view.Place    // the replica of that one
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
	h := &hunt{entry: e, job: j, crashes: t.crashes, alone: t.suspect}
	for _, place := range places[:min(len(places), maxAsks)] {
		p, err := h.ask(ctx, place, 0)
		if p != nil || err != nil {
			return p, err
		}
	}
	return h.wait(ctx, time.Duration(v.Document.Limits.Wait))
}

// sort puts the replicas that failed the job, or others lately, behind the rest.
func (t *trial) sort(places []view.Place) []view.Place {
	if len(t.avoid) == 0 && t.entry.shunned.empty() {
		return places
	}
	var first, rest []view.Place
	for _, place := range places {
		if t.avoid[place.Replica.ID] || t.entry.shunned.has(place.Replica.ID) {
			rest = append(rest, place)
		} else {
			first = append(first, place)
		}
	}
	return append(first, rest...)
}

// wait queues at the gate that has a permit first, where all are busy and that
// one has it in time.
func (h *hunt) wait(ctx context.Context, most time.Duration) (*permit, *Error) {
	if !h.busy {
		return nil, unavailable(errNobody)
	}
	most = min(most, time.Until(h.job.deadline))
	if most > 0 && h.back <= most {
		p, err := h.ask(ctx, h.best, most)
		if p != nil || err != nil {
			return p, err
		}
	}
	err := reject("acquire", Busy, nil)
	err.Retry = max(h.back, defaultBack)
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
func (h *hunt) ask(ctx context.Context, place view.Place, wait time.Duration) (*permit, *Error) {
	p, err, answered := h.askAt(ctx, place, place.Replica.Gate, wait)
	if answered || err != nil {
		return p, err
	}
	for _, id := range h.entry.interim(place) {
		p, err, answered = h.askAt(ctx, place, id, wait)
		if answered || err != nil {
			return p, err
		}
	}
	return nil, nil
}

// askAt asks one daemon. Answered tells a gate's word from a daemon that can't
// be asked or isn't the gate.
func (h *hunt) askAt(ctx context.Context, place view.Place, id string, wait time.Duration) (p *permit, err *Error, answered bool) {
	if err := h.entry.over(ctx, h.job); err != nil {
		return nil, err, false
	}
	address, ok := h.entry.peer(id)
	if !ok {
		return nil, nil, false
	}
	gate := h.entry.options.Gate(address)
	asked := time.Now()
	response, failed := h.call(ctx, gate, place, wait)
	if failed != nil {
		return nil, h.entry.over(ctx, h.job), false
	}
	if response.GetVerdict() == wire.Verdict_VERDICT_NOT_GATE {
		return nil, nil, false
	}
	h.entry.observe(place, response)
	p, err = h.judge(place, gate, asked, response)
	return p, err, true
}

func (h *hunt) call(ctx context.Context, gate wire.GateClient, place view.Place, wait time.Duration) (*wire.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askLimit)
	defer cancel()
	j := h.job
	return gate.Acquire(ctx, &wire.AcquireRequest{
		Replica:     place.Replica.ID,
		Daemon:      h.entry.options.Self,
		Boot:        h.entry.options.Boot,
		Request:     j.id,
		Account:     j.account,
		Priority:    int32(j.priority),
		Wait:        durationpb.New(wait),
		Tokens:      uint32(j.prompt.tokens),
		Prefix:      j.prompt.prefix,
		Alone:       h.alone,
		Fingerprint: short(j.print),
		Crashes:     h.crashes,
	})
}

// judge turns a gate's answer into a permit, a final error or neither.
func (h *hunt) judge(place view.Place, gate wire.GateClient, asked time.Time, response *wire.AcquireResponse) (*permit, *Error) {
	switch response.GetVerdict() {
	case wire.Verdict_VERDICT_GRANTED:
		return h.check(place, gate, asked, response), nil
	case wire.Verdict_VERDICT_THROTTLED:
		err := reject("acquire", Throttled, text(response))
		err.Retry = max(response.GetRetryAfter().AsDuration(), defaultBack)
		return nil, err
	case wire.Verdict_VERDICT_SUSPECT:
		// Attempts before this one ran, if only in part.
		return nil, &Error{Op: "acquire", Kind: Suspect, Ran: engine.Unknown, Err: text(response)}
	case wire.Verdict_VERDICT_BUSY:
		h.note(place, response.GetRetryAfter().AsDuration())
	}
	return nil, nil
}

// note remembers the replica that has a permit first.
func (h *hunt) note(place view.Place, back time.Duration) {
	if !h.busy || back < h.back {
		h.back = back
		h.best = place
	}
	h.busy = true
}

func text(response *wire.AcquireResponse) error {
	if response.GetReason() == "" {
		return nil
	}
	return errors.New(response.GetReason())
}

// check returns a permit that is valid for a while yet, counted from before it
// was asked for; one that isn't is given back.
func (h *hunt) check(place view.Place, gate wire.GateClient, asked time.Time, response *wire.AcquireResponse) *permit {
	p := &permit{
		place:  place,
		gate:   gate,
		number: response.GetPermit(),
		fence:  response.GetFence(),
		target: response.GetAddress(),
		until:  asked.Add(response.GetValidity().AsDuration()),
		alone:  response.GetAlone() || h.alone,
	}
	if p.stale() {
		h.entry.releaseLater(h.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		h.note(place, 0)
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
