package front

import (
	"errors"
	"time"

	"clementinehead.example/chead/hold"
)

// next returns the next event of a stream. The error is that of readEvent, or errNoEvents
// if over idleLimit bytes came without an event that has content: these are no progress.
func (x *exchange) next() (event, error) {
	x.freeEvent()
	e, err := readEvent(x.reader, x.eventRoom)
	if errors.Is(err, errNoRoom) {
		x.lacksRoom()
	}
	if err == nil && !x.slot.Peer {
		x.front.options.Reach.Heard()
	}
	switch {
	case err != nil:
		return e, err
	case !e.content:
		x.idle += len(e.raw)
		if x.idle > idleLimit {
			return event{}, errNoEvents
		}
		return e, nil
	}
	x.idle = 0
	x.slot.Progress(true)
	x.noteSurvival(time.Now())
	return e, nil
}

// eventRoom asks for room for more bytes of an event that is being read.
func (x *exchange) eventRoom(n int64) bool {
	if !x.job.share.Add(hold.Answer, n, time.Now()) {
		x.front.noteFull(x.job, hold.Answer)
		return false
	}
	x.eventHeld += n
	return true
}

// freeEvent ends the account of the last event that was read. What is held of it from then
// on is counted by the outlet.
func (x *exchange) freeEvent() {
	x.job.share.Free(x.eventHeld)
	x.eventHeld = 0
}

// lacksRoom records that an answer is given up for want of memory, which says nothing of
// its endpoint.
func (x *exchange) lacksRoom() {
	x.job.noRoom.Store(true)
	x.givenUp.Store(true)
}

// noteSurvival records the request's survival at the endpoint once events have come for
// survivalTime.
func (x *exchange) noteSurvival(now time.Time) {
	if x.firstAt.IsZero() {
		x.firstAt = now
	}
	if !x.survived && now.Sub(x.firstAt) >= survivalTime {
		x.survived = true
		x.front.options.Parts.Survived(x.job.parts)
	}
}

// follows reports whether an event is the one that follows a point, and logs one that
// is not.
func (x *exchange) follows(p point, e event) bool {
	if !p.precedes(e) {
		x.front.options.Log.Info("event out of order", "id", x.job.id, "endpoint", x.slot.Endpoint.ID, "event", e.id, "expected", p.nextID)
		return false
	}
	return true
}
