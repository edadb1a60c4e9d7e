package entry

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

const (
	maxRelease  = 5 * time.Second        // for telling a gate of an ending
	releases    = 3                      // attempts at it
	releaseWait = 200 * time.Millisecond // between them
)

// release tells the gate how a dispatch ended, and returns what the gate knows
// of the request.
func (e *Entry) release(ctx context.Context, j *job, p *permit, o outcome) (*wire.ReleaseResponse, error) {
	ended := time.Now()
	gate := p.gate
	var failed error
	for range releases {
		response, err := gate.Release(ctx, &wire.ReleaseRequest{
			Replica:    p.place.Replica.ID,
			Daemon:     e.options.Self,
			Permit:     p.number,
			Request:    j.id,
			Ending:     o.ending,
			FirstToken: durationpb.New(o.first),
			Tokens:     uint32(o.tokens),
			Age:        durationpb.New(time.Since(ended)),
		})
		if err == nil {
			return response, nil
		}
		failed = err
		if !clock.Sleep(ctx, releaseWait) {
			break
		}
		gate = e.present(p)
	}
	return nil, fmt.Errorf("release: %w", failed)
}

// present returns the gate that a permit's replica has now, or the permit's own
// where that can't be found out.
func (e *Entry) present(p *permit) wire.GateClient {
	place, ok := e.options.View().Place(p.place.Replica.ID)
	if !ok {
		return p.gate
	}
	address, ok := e.peer(place.Replica.Gate)
	if !ok {
		return p.gate
	}
	return e.options.Gate(address)
}

// releaseLater ends a dispatch without keeping the caller waiting.
func (e *Entry) releaseLater(j *job, p *permit, o outcome) {
	e.later(maxSettle+maxRelease, func(ctx context.Context) {
		if o.settle != nil {
			o.ending = o.settle()
		}
		_, _ = e.release(ctx, j, p, o) // the gate lets a silent permit lapse
	})
}
