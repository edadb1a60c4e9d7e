package tally

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/wire"
)

// holding is a peer's sheet that is kept here.
type holding struct {
	sheet  *wire.Sheet
	copy   bool   // another daemon answers for it
	passed string // peer that has a copy
}

// get returns the sheet, nil for no holding.
func (h *holding) get() *wire.Sheet {
	if h == nil {
		return nil
	}
	return h.sheet
}

// abandoned reports whether the daemon that counted the sheet is gone.
func (h *holding) abandoned() bool { return h.sheet.Ended > 0 || h.sheet.Closed }

// adopt marks the held sheets of daemons that are gone, so that they are
// flushed in their stead.
func (h *Holder) adopt() {
	standing := map[string]*wire.Daemon{}
	for _, d := range h.options.Daemons() {
		standing[d.Id] = d
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for boot, held := range h.held {
		if held.sheet.Ended == 0 && gone(boot, standing[boot.Daemon]) {
			held.sheet.Ended = time.Now().UnixNano()
		}
	}
}

func gone(boot Boot, d *wire.Daemon) bool {
	if d == nil {
		return true
	}
	return d.Boot > boot.Boot || d.Standing == wire.Standing_STANDING_DEAD
}

// passOn gives a peer a copy of the sheet of each daemon that is gone, so that it survives the
// death of this daemon while the store is down.
func (h *Holder) passOn(ctx context.Context) {
	peer := h.choose()
	if peer == nil {
		return
	}
	for _, held := range h.abandoned() {
		if held.copy || held.passed == peer.Id {
			continue
		}
		if h.send(ctx, peer, held.sheet, true) {
			h.notePassed(held.sheet, peer.Id)
		}
	}
}

// leaveAll leaves all held sheets to a peer, when this daemon shuts down.
func (h *Holder) leaveAll(ctx context.Context) {
	peer := h.choose()
	if peer == nil {
		return
	}
	for _, held := range h.holdings() {
		h.send(ctx, peer, held.sheet, false)
	}
}

// send reports whether a peer took a whole sheet.
func (h *Holder) send(ctx context.Context, peer *wire.Daemon, sheet *wire.Sheet, copied bool) bool {
	ctx, cancel := context.WithTimeout(ctx, holdLimit)
	defer cancel()
	whole := proto.Clone(sheet).(*wire.Sheet)
	whole.Whole = true
	request := &wire.HoldRequest{Sheet: whole, Copy: copied}
	response, err := h.options.Client(peer.PeerAddress).Hold(ctx, request)
	if err != nil {
		h.metrics.failures.WithLabelValues("pass").Inc()
		return false
	}
	return response.Sequence >= sheet.Sequence
}

// holdings returns copies of all holdings.
func (h *Holder) holdings() []holding {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	holdings := make([]holding, 0, len(h.held))
	for _, held := range h.held {
		holdings = append(holdings, holding{
			sheet:  proto.Clone(held.sheet).(*wire.Sheet),
			copy:   held.copy,
			passed: held.passed,
		})
	}
	return holdings
}

// abandoned returns copies of the holdings whose daemon is gone.
func (h *Holder) abandoned() []holding {
	var abandoned []holding
	for _, held := range h.holdings() {
		if held.abandoned() {
			abandoned = append(abandoned, held)
		}
	}
	return abandoned
}

func (h *Holder) notePassed(sheet *wire.Sheet, peer string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := h.held[Boot{Daemon: sheet.Daemon, Boot: sheet.Boot}]; held != nil {
		held.passed = peer
	}
}

func (h *Holder) release(sheet *wire.Sheet) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.held, Boot{Daemon: sheet.Daemon, Boot: sheet.Boot})
}
