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
	releaseTimeout  = 5 * time.Second        // for reporting the end of a dispatch in the background, all attempts together
	releaseAttempts = 3                      // attempts to report the end of a dispatch
	releaseDelay    = 200 * time.Millisecond // between two attempts
)

// releasePermit reports the end of a dispatch to the gate, which frees the
// permit. It returns the gate's response, with the names of the recorded crashes
// at which the request was in progress.
// After a failed call, the replica's gate may be another daemon, so the gate is
// looked up again.
func (e *Entry) releasePermit(ctx context.Context, j *job, p *permit, o outcome) (*wire.ReleaseResponse, error) {
	ended := time.Now()
	gate := p.gate
	var failed error
	for range releaseAttempts {
		response, err := gate.Release(ctx, &wire.ReleaseRequest{
			Replica:    p.location.Replica.ID,
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
		if !clock.Sleep(ctx, releaseDelay) {
			break
		}
		gate = e.currentGate(p)
	}
	return nil, fmt.Errorf("release: %w", failed)
}

// currentGate returns the present gate of a permit's replica, or the permit's
// gate where the present one can't be found.
func (e *Entry) currentGate(p *permit) wire.GateClient {
	location, ok := e.options.View().Locate(p.location.Replica.ID)
	if !ok {
		return p.gate
	}
	address, ok := e.peerAddress(location.Replica.Gate)
	if !ok {
		return p.gate
	}
	return e.options.Gate(address)
}

// releaseLater releases a permit in the background. Where the endpoint may
// still run the request, it first cancels the run and finds out how it ended.
func (e *Entry) releaseLater(j *job, p *permit, o outcome) {
	e.runBackground(resolveTimeout+releaseTimeout, func(ctx context.Context) {
		if o.resolve != nil {
			o.ending = o.resolve()
		}
		_, _ = e.releasePermit(ctx, j, p, o) // a permit that is not released expires at the gate
	})
}
