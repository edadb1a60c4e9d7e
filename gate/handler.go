package gate

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/wire"
)

// forwardTimeout ends a release that is passed on to another gate.
const forwardTimeout = time.Second

// Acquire asks for a permit and waits for it as long as the request allows.
func (g *Gate) Acquire(ctx context.Context, request *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	g.mu.Lock()
	p := g.posts[request.Replica]
	if p == nil {
		g.mu.Unlock()
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_NOT_GATE, Reason: Unnamed.String()}, nil
	}
	waiter := make(chan *wire.AcquireResponse, 1)
	id, answers := p.core.Ask(time.Now(), request)
	p.waiters[id] = waiter
	g.deliver(p, answers)
	patience := min(request.Wait.AsDuration(), time.Duration(p.core.setup.Limits.Wait))
	g.mu.Unlock()
	select {
	case response := <-waiter:
		return response, nil
	default:
		return g.await(ctx, p, id, waiter, patience)
	}
}

// await waits for an answer.
func (g *Gate) await(ctx context.Context, p *post, id uint64, waiter chan *wire.AcquireResponse, patience time.Duration) (*wire.AcquireResponse, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case response := <-waiter:
		return response, nil
	case <-timer.C:
		return g.abandon(p, id, waiter), nil
	case <-ctx.Done():
		response := g.abandon(p, id, waiter)
		g.giveBack(p, response)
		return nil, ctx.Err()
	}
}

// abandon takes a request out of the queue, or returns the answer that came.
func (g *Gate) abandon(p *post, id uint64, waiter chan *wire.AcquireResponse) *wire.AcquireResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	response := p.core.Abandon(id)
	if response == nil {
		return <-waiter
	}
	delete(p.waiters, id)
	g.metrics.answers.WithLabelValues(response.Verdict.String()).Inc()
	return response
}

// giveBack releases a permit that nobody waits for any more.
func (g *Gate) giveBack(p *post, response *wire.AcquireResponse) {
	if response.Verdict != wire.Verdict_VERDICT_GRANTED {
		return
	}
	release := &wire.ReleaseRequest{Permit: response.Permit, Ending: wire.Ending_ENDING_UNUSED}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, answers := p.core.Release(time.Now(), release)
	g.deliver(p, answers)
}

// Release ends a permit. One for a replica of another gate is passed on once.
func (g *Gate) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	g.mu.Lock()
	p := g.posts[request.Replica]
	if p == nil {
		g.mu.Unlock()
		return g.forward(ctx, request), nil
	}
	defer g.mu.Unlock()
	response, answers := p.core.Release(time.Now(), request)
	g.deliver(p, answers)
	g.announce()
	return response, nil
}

// forward passes a release on to the replica's present gate.
func (g *Gate) forward(ctx context.Context, request *wire.ReleaseRequest) *wire.ReleaseResponse {
	if request.Forwarded {
		return &wire.ReleaseResponse{}
	}
	place, ok := g.options.View().Place(request.Replica)
	if !ok || place.Replica.Gate == g.options.Self {
		return &wire.ReleaseResponse{}
	}
	next := g.successor(place.Replica.Gate, g.options.Daemons())
	if next == nil {
		return &wire.ReleaseResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	passed := proto.CloneOf(request)
	passed.Forwarded = true
	response, err := g.options.Client(next.PeerAddress).Release(ctx, passed)
	if err != nil {
		return &wire.ReleaseResponse{}
	}
	return response
}

// Handover takes a replica over from the gate before.
func (g *Gate) Handover(_ context.Context, request *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.posts[request.Replica]
	if p == nil {
		return &wire.HandoverResponse{}, nil
	}
	taken, answers := p.core.Take(time.Now(), request)
	g.deliver(p, answers)
	return &wire.HandoverResponse{Taken: taken}, nil
}

// Strike takes a peer's word that a request stood in a crash.
func (g *Gate) Strike(_ context.Context, request *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Add(request.Fingerprint, request.Crash)
	return &wire.StrikeResponse{}, nil
}
