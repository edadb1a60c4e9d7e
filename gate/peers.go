package gate

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

const (
	crashReportTimeout  = time.Second           // to send crash reports to all peers
	crashReportParallel = 16                    // peers to which reports are sent at the same time
	handoverPause       = 50 * time.Millisecond // between attempts of a handover
)

// errUntaken is the cause of an Error for a handover that the next gate
// refused.
var errUntaken = errors.New("refused")

// successor returns the daemon with the id of the named gate. It returns nil if
// that is this daemon, or if the daemon is dead or unknown.
func (g *Gate) successor(id string, daemons []*wire.Daemon) *wire.Daemon {
	if id == g.options.Self {
		return nil
	}
	for _, daemon := range daemons {
		if daemon.Id == id && daemon.Standing != wire.Standing_STANDING_DEAD {
			return daemon
		}
	}
	return nil
}

// handOver sends a handover to the next gate. It stops after the remaining time,
// since a third gate may then have held the claim in between.
func (g *Gate) handOver(next *wire.Daemon, request *wire.HandoverRequest, remaining time.Duration) {
	g.handovers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), remaining)
		defer cancel()
		err := g.offer(ctx, next, request)
		if err != nil {
			g.options.Log.Error(err, "handover failed", "replica", request.Replica, "to", next.Id)
			return
		}
		g.options.Log.Info("handed over", "replica", request.Replica, "to", next.Id, "fence", request.Fence)
	})
}

// offer sends a handover until it is accepted, since the next gate may not know
// yet that it is named.
func (g *Gate) offer(ctx context.Context, next *wire.Daemon, request *wire.HandoverRequest) error {
	client := g.options.Client(next.PeerAddress)
	for {
		response, err := client.Handover(ctx, request)
		if err == nil && response.Taken {
			return nil
		}
		if clock.Sleep(ctx, handoverPause) {
			continue
		}
		if err != nil {
			return &Error{Op: "handover", Replica: request.Replica, Kind: Unreachable, Err: err}
		}
		return &Error{Op: "handover", Replica: request.Replica, Kind: Untaken, Err: errUntaken}
	}
}

// signalCrashes wakes crashReportLoop if crash reports wait to be sent. The
// caller holds g.mu.
func (g *Gate) signalCrashes() {
	if len(g.crashes.unsent) == 0 {
		return
	}
	select {
	case g.crashSignal <- struct{}{}:
	default:
	}
}

// crashReportLoop sends crash reports to all peers until the context ends.
func (g *Gate) crashReportLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.crashSignal:
			g.sendCrashReports(ctx)
		}
	}
}

// sendCrashReports sends the unsent crash reports to all peers that are not
// dead.
func (g *Gate) sendCrashReports(ctx context.Context) {
	g.mu.Lock()
	reports := g.crashes.TakeUnsent()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(crashReportParallel)
	for _, daemon := range g.options.Daemons() {
		if daemon.Id == g.options.Self || daemon.Standing == wire.Standing_STANDING_DEAD {
			continue
		}
		group.Go(func() error {
			g.sendToPeer(ctx, daemon, reports)
			return nil
		})
	}
	_ = group.Wait()
}

// sendToPeer sends crash reports to one peer, and stops at the first failure.
// The remaining reports are not sent to this peer again.
func (g *Gate) sendToPeer(ctx context.Context, daemon *wire.Daemon, reports []*wire.StrikeRequest) {
	client := g.options.Client(daemon.PeerAddress)
	for _, report := range reports {
		if _, err := client.Strike(ctx, report); err != nil {
			return
		}
	}
}
