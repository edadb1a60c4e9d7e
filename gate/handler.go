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
	p, w := g.ask(request)
	if p == nil {
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_NOT_GATE, Reason: Unnamed.String()}, nil
	}
	response, err := g.await(ctx, p, w)
	if err != nil {
		return nil, err
	}
	g.metrics.permit(request, response)
	return response, nil
}

// waiter is one who waits for an answer.
type waiter struct {
	ask      uint64
	patience time.Duration
	answer   chan *wire.AcquireResponse // holds one
}

// ask puts a request to a replica's core. The post is nil where this daemon
// isn't the replica's gate.
func (g *Gate) ask(request *wire.AcquireRequest) (*post, waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.posts[request.Replica]
	if p == nil {
		return nil, waiter{}
	}
	id, answers := p.core.Ask(time.Now(), request)
	w := waiter{
		ask:      id,
		patience: min(request.Wait.AsDuration(), time.Duration(p.core.setup.Limits.Wait)),
		answer:   make(chan *wire.AcquireResponse, 1),
	}
	p.waiters[id] = w.answer
	g.deliver(p, answers)
	return p, w
}

// await waits for an answer.
func (g *Gate) await(ctx context.Context, p *post, w waiter) (*wire.AcquireResponse, error) {
	select {
	case response := <-w.answer:
		return response, nil
	default:
	}
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	select {
	case response := <-w.answer:
		return response, nil
	case <-timer.C:
		return g.abandon(p, w), nil
	case <-ctx.Done():
		g.giveBack(p, g.abandon(p, w))
		return nil, ctx.Err()
	}
}

// abandon takes a request out of the queue, or returns the answer that came.
func (g *Gate) abandon(p *post, w waiter) *wire.AcquireResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	response := p.core.Abandon(w.ask)
	if response == nil {
		return <-w.answer
	}
	delete(p.waiters, w.ask)
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
	g.book.Hear(request)
	return &wire.StrikeResponse{}, nil
}
