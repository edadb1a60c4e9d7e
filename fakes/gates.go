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

// ErrGate is the answer of a gate that can't be reached.
var ErrGate = errors.New("no gate here")

// busyFor is when to come back where all permits are given.
const busyFor = 3 * time.Second

// Gates stands in for the gates of all replicas. It gives permits up to a
// limit and remembers crashes as a gate does. The first member of a replica
// named r and a number has the address e, that number, and port 80.
type Gates struct {
	Limit   int           // permits at once
	Delay   time.Duration // after each answer
	Asked   []*wire.AcquireRequest
	Verdict func(*wire.AcquireRequest) *wire.AcquireResponse // nil or nil response: as usual

	view    func() *view.View
	mu      sync.Mutex
	number  uint64
	held    map[uint64]*wire.AcquireRequest
	crashes map[uint64][]string
	endings []wire.Ending
}

// NewGates returns gates for the replicas of a view.
func NewGates(view func() *view.View, limit int) *Gates {
	return &Gates{
		Limit:   limit,
		view:    view,
		held:    map[uint64]*wire.AcquireRequest{},
		crashes: map[uint64][]string{},
	}
}

// Acquire gives a permit, or says that all are given.
func (g *Gates) Acquire(_ context.Context, r *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	defer time.Sleep(g.Delay)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Asked = append(g.Asked, r)
	if g.Verdict != nil {
		if response := g.Verdict(r); response != nil {
			return response, nil
		}
	}
	if len(g.crashes[r.GetFingerprint()]) >= 2 {
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_SUSPECT}, nil
	}
	if len(g.held) >= g.Limit {
		return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_BUSY, RetryAfter: durationpb.New(busyFor)}, nil
	}
	g.number++
	place, _ := g.view().Place(r.GetReplica())
	g.held[g.number] = r
	return &wire.AcquireResponse{
		Verdict: wire.Verdict_VERDICT_GRANTED, Permit: g.number, Fence: place.Replica.Fence,
		Address:  strings.Replace(r.GetReplica(), "r", "e", 1) + ":80",
		Validity: durationpb.New(time.Second),
		Alone:    len(g.crashes[r.GetFingerprint()]) > 0,
	}, nil
}

// Release takes a permit back and tells of the crashes that its request stood
// in.
func (g *Gates) Release(_ context.Context, r *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, ok := g.held[r.GetPermit()]
	if !ok {
		return &wire.ReleaseResponse{}, nil
	}
	delete(g.held, r.GetPermit())
	g.endings = append(g.endings, r.GetEnding())
	suspect := held.GetFingerprint()
	if r.GetEnding() == wire.Ending_ENDING_CRASHED {
		g.crashes[suspect] = append(g.crashes[suspect], fmt.Sprint(r.GetReplica(), "/", r.GetPermit()))
	}
	return &wire.ReleaseResponse{Strikes: uint32(len(g.crashes[suspect])), Crashes: slices.Clone(g.crashes[suspect])}, nil
}

// Handover fails.
func (g *Gates) Handover(context.Context, *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	return nil, ErrGate
}

// Strike fails.
func (g *Gates) Strike(context.Context, *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	return nil, ErrGate
}

// Count returns how often an ending was told.
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

// Holding returns how many permits are in use.
func (g *Gates) Holding() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.held)
}
