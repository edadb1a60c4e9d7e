package tally

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/wire"
)

// collectAtOnce bounds the peers that are asked at the same time.
const collectAtOnce = 32

// Report makes a report from the store's pages, this daemon and all live
// peers, as it stood when it was asked for. Peers that don't answer leave a
// gap. The error is of kind Unreadable where the store doesn't answer.
func (h *Holder) Report(ctx context.Context, q Query) (Report, error) {
	q, err := q.Widen()
	if err != nil {
		return Report{}, err
	}
	asked := time.Now()
	sheets, err := Pages(ctx, h.options.Store, q)
	if err != nil {
		h.metrics.failures.WithLabelValues("pages").Inc()
		return Report{}, &Error{Op: "report", Kind: Unreadable, Err: err}
	}
	sheets = append(sheets, h.collect(ctx, q)...)
	return Make(q, sheets, asked)
}

func (h *Holder) collect(ctx context.Context, q Query) []*wire.Sheet {
	request := &wire.CollectRequest{From: q.From.Unix(), Until: q.Until.Unix()}
	var mutex sync.Mutex
	var sheets []*wire.Sheet
	add := func(response *wire.CollectResponse) {
		mutex.Lock()
		defer mutex.Unlock()
		sheets = append(sheets, response.GetSheets()...)
	}
	var group errgroup.Group
	group.SetLimit(collectAtOnce)
	for _, d := range h.options.Daemons() {
		group.Go(func() error {
			add(h.ask(ctx, d, request))
			return nil
		})
	}
	// The functions return no error: a silent peer shows as a gap.
	_ = group.Wait()
	return sheets
}

// ask returns nil where a peer doesn't answer.
func (h *Holder) ask(ctx context.Context, d *wire.Daemon, request *wire.CollectRequest) *wire.CollectResponse {
	ctx, cancel := context.WithTimeout(ctx, holdLimit)
	defer cancel()
	if d.Id == h.options.Self {
		response, _ := h.Collect(ctx, request)
		return response
	}
	if d.Standing == wire.Standing_STANDING_DEAD {
		return nil
	}
	response, err := h.options.Client(d.PeerAddress).Collect(ctx, request)
	if err != nil {
		h.metrics.failures.WithLabelValues("collect").Inc()
		return nil
	}
	return response
}
