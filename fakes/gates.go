package fakes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// ErrGate is the error for a gate that can't be reached.
var ErrGate = errors.New("no gate here")

// retryAfter is the retry delay in the answer when all permits are in use.
const retryAfter = 3 * time.Second

// Gates is a stand-in for the gates of all replicas. It grants permits up to a
// limit and counts crashes by fingerprint as a gate does. The replica named
// "r<n>" has the address "e<n>:80", which is that of its member with rank 0.
type Gates struct {
	Limit    int                                              // maximum number of permits in use
	Delay    time.Duration                                    // before each answer of Acquire
	Requests []*wire.AcquireRequest                           // received so far
	Verdict  func(*wire.AcquireRequest) *wire.AcquireResponse // overrides the response, unless it or its result is nil

	view       func() *view.View
	mu         sync.Mutex
	lastPermit uint64
	permits    map[uint64]*wire.AcquireRequest
	crashes    map[uint64][]string
	endings    []wire.Ending
}

// NewGates returns gates for the replicas of a view.
func NewGates(view func() *view.View, limit int) *Gates {
	return &Gates{
		Limit:   limit,
		view:    view,
		permits: map[uint64]*wire.AcquireRequest{},
		crashes: map[uint64][]string{},
	}
}

// Acquire grants a permit. It answers suspect for a fingerprint with two or more
// crashes, and busy if all permits are in use.
func (g *Gates) Acquire(_ context.Context, r *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	defer time.Sleep(g.Delay)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Requests = append(g.Requests, r)
	if g.Verdict != nil {
		if response := g.Verdict(r); response != nil {
			return response, nil
		}
	}
	if len(g.crashes[r.GetFingerprint()]) >= 2 {
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_SUSPECT}, nil
	}
	if len(g.permits) >= g.Limit {
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_BUSY, RetryAfter: durationpb.New(retryAfter)}, nil
	}
	g.lastPermit++
	location, _ := g.view().Locate(r.GetReplica())
	g.permits[g.lastPermit] = r
	return &wire.AcquireResponse{
		Verdict: wire.Verdict_VERDICT_GRANTED, Permit: g.lastPermit, Fence: location.Replica.Fence,
		Address:  strings.Replace(r.GetReplica(), "r", "e", 1) + ":80",
		Validity: durationpb.New(time.Second),
		Alone:    len(g.crashes[r.GetFingerprint()]) > 0,
	}, nil
}

// Release returns a permit and answers with the crashes recorded for the
// request's fingerprint.
func (g *Gates) Release(_ context.Context, r *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	request, ok := g.permits[r.GetPermit()]
	if !ok {
		return &wire.ReleaseResponse{}, nil
	}
	delete(g.permits, r.GetPermit())
	g.endings = append(g.endings, r.GetEnding())
	fingerprint := request.GetFingerprint()
	if r.GetEnding() == wire.Ending_ENDING_CRASHED {
		g.crashes[fingerprint] = append(g.crashes[fingerprint], fmt.Sprint(r.GetReplica(), "/", r.GetPermit()))
	}
	return &wire.ReleaseResponse{Strikes: uint32(len(g.crashes[fingerprint])), Crashes: slices.Clone(g.crashes[fingerprint])}, nil
}

// Handover fails with ErrGate.
func (g *Gates) Handover(context.Context, *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	return nil, ErrGate
}

// Strike fails with ErrGate.
func (g *Gates) Strike(context.Context, *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	return nil, ErrGate
}

// Count returns how many permits were released with an ending.
func (g *Gates) Count(ending wire.Ending) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.endings {
		if e == ending {
			n++
		}
	}
	return n
}

// InUse returns the number of permits in use.
func (g *Gates) InUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.permits)
}
