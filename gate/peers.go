package gate

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/wire"
)

const (
	strikeTimeout  = time.Second
	strikeParallel = 16 // peers that are told at once
	handoverPause  = 50 * time.Millisecond
)

// errUntaken is the cause of a handover that the next gate refused.
var errUntaken = errors.New("refused")

// successor returns the daemon that a record names as gate, nil when it can't
// be asked.
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

// handOver passes a post on within the time that is left for it.
func (g *Gate) handOver(next *wire.Daemon, request *wire.HandoverRequest, left time.Duration) {
	g.handovers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), left)
		defer cancel()
		err := g.offer(ctx, next, request)
		if err != nil {
			g.options.Log.Error(err, "handover failed", "replica", request.Replica, "to", next.Id)
			return
		}
		g.options.Log.Info("handed over", "replica", request.Replica, "to", next.Id, "fence", request.Fence)
	})
}

// offer offers a handover until it is taken: the next gate may not know yet
// that it is named.
func (g *Gate) offer(ctx context.Context, next *wire.Daemon, request *wire.HandoverRequest) error {
	client := g.options.Client(next.PeerAddress)
	for {
		response, err := client.Handover(ctx, request)
		if err == nil && response.Taken {
			return nil
		}
		if sleep(ctx, handoverPause) {
			continue
		}
		if err != nil {
			return &Error{Op: "handover", Replica: request.Replica, Kind: Unreachable, Err: err}
		}
		return &Error{Op: "handover", Replica: request.Replica, Kind: Untaken, Err: errUntaken}
	}
}

// announce wakes spread when peers have to hear of strikes. The gate is
// locked.
func (g *Gate) announce() {
	if len(g.book.news) == 0 {
		return
	}
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// spread tells all peers of strikes until the context ends.
func (g *Gate) spread(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.news:
			g.tell(ctx)
		}
	}
}

// tell tells all living peers of the strikes that they have not heard of.
func (g *Gate) tell(ctx context.Context) {
	g.mu.Lock()
	news := g.book.News()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(strikeParallel)
	for _, daemon := range g.options.Daemons() {
		if daemon.Id == g.options.Self || daemon.Standing == wire.Standing_STANDING_DEAD {
			continue
		}
		group.Go(func() error {
			g.tellOne(ctx, daemon, news)
			return nil
		})
	}
	_ = group.Wait()
}

func (g *Gate) tellOne(ctx context.Context, daemon *wire.Daemon, news []*wire.StrikeRequest) {
	client := g.options.Client(daemon.PeerAddress)
	for _, strike := range news {
		if _, err := client.Strike(ctx, strike); err != nil {
			return
		}
	}
}
