package gate

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/wire"
)

// forwardTimeout limits the forwarding of a release to another gate.
const forwardTimeout = time.Second

// Acquire requests a permit and waits for it as long as the request and the
// limits allow.
func (g *Gate) Acquire(ctx context.Context, request *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	r, w := g.submit(request)
	if r == nil {
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_NOT_GATE, Reason: Unnamed.String()}, nil
	}
	response, err := g.await(ctx, r, w)
	if err != nil {
		return nil, err
	}
	g.metrics.countBlocks(request, response)
	return response, nil
}

// waiter is a call of Acquire that waits for its answer.
type waiter struct {
	id     uint64                     // number of the request
	wait   time.Duration              // longest wait
	answer chan *wire.AcquireResponse // buffered for one response
}

// submit passes a request to a replica's core. The returned gate is nil if this
// daemon isn't the replica's gate.
func (g *Gate) submit(request *wire.AcquireRequest) (*replicaGate, waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.gates[request.Replica]
	if r == nil {
		return nil, waiter{}
	}
	id, answers := r.core.Acquire(time.Now(), request)
	w := waiter{
		id:     id,
		wait:   min(request.Wait.AsDuration(), time.Duration(r.core.setup.Limits.Wait)),
		answer: make(chan *wire.AcquireResponse, 1),
	}
	r.waiters[id] = w.answer
	g.deliver(r, answers)
	return r, w
}

// await waits for the answer. When the context ends first, it releases a permit
// that was already given.
func (g *Gate) await(ctx context.Context, r *replicaGate, w waiter) (*wire.AcquireResponse, error) {
	select {
	case response := <-w.answer:
		return response, nil
	default:
	}
	timer := time.NewTimer(w.wait)
	defer timer.Stop()
	select {
	case response := <-w.answer:
		return response, nil
	case <-timer.C:
		return g.abandon(r, w), nil
	case <-ctx.Done():
		g.releaseUnused(r, g.abandon(r, w))
		return nil, ctx.Err()
	}
}

// abandon removes a request from the queue and returns its refusal, or returns
// the answer that has already arrived.
func (g *Gate) abandon(r *replicaGate, w waiter) *wire.AcquireResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	response := r.core.Abandon(w.id)
	if response == nil {
		return <-w.answer
	}
	delete(r.waiters, w.id)
	g.metrics.answers.WithLabelValues(response.Verdict.String()).Inc()
	return response
}

// releaseUnused releases a permit whose caller has disconnected.
func (g *Gate) releaseUnused(r *replicaGate, response *wire.AcquireResponse) {
	if response.Verdict != wire.Verdict_VERDICT_GRANTED {
		return
	}
	release := &wire.ReleaseRequest{Permit: response.Permit, Ending: wire.Ending_ENDING_UNUSED}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, answers := r.core.Release(time.Now(), release)
	g.deliver(r, answers)
}

// Release ends a permit. If this daemon is not the replica's gate, it forwards
// the release once.
func (g *Gate) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	g.mu.Lock()
	r := g.gates[request.Replica]
	if r == nil {
		g.mu.Unlock()
		return g.forward(ctx, request), nil
	}
	defer g.mu.Unlock()
	response, answers := r.core.Release(time.Now(), request)
	g.deliver(r, answers)
	g.signalCrashes()
	return response, nil
}

// forward sends a release to the replica's present gate.
func (g *Gate) forward(ctx context.Context, request *wire.ReleaseRequest) *wire.ReleaseResponse {
	if request.Forwarded {
		return &wire.ReleaseResponse{}
	}
	location, ok := g.options.View().Locate(request.Replica)
	if !ok || location.Replica.Gate == g.options.Self {
		return &wire.ReleaseResponse{}
	}
	next := g.successor(location.Replica.Gate, g.options.Daemons())
	if next == nil {
		return &wire.ReleaseResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	forwarded := proto.CloneOf(request)
	forwarded.Forwarded = true
	response, err := g.options.Client(next.PeerAddress).Release(ctx, forwarded)
	if err != nil {
		return &wire.ReleaseResponse{}
	}
	return response
}

// Handover accepts a replica from its previous gate.
func (g *Gate) Handover(_ context.Context, request *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.gates[request.Replica]
	if r == nil {
		return &wire.HandoverResponse{}, nil
	}
	taken, answers := r.core.TakeOver(time.Now(), request)
	g.deliver(r, answers)
	return &wire.HandoverResponse{Taken: taken}, nil
}

// Strike processes a crash report of a peer.
func (g *Gate) Strike(_ context.Context, request *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Apply(request)
	return &wire.StrikeResponse{}, nil
}
