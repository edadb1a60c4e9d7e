package front

import (
	"context"
	"maps"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
)

// successor is what a request's next try needs: a slot, for a retry that is counted, and
// a connection to its endpoint.
type successor struct {
	slot *pick.Slot
	conn *conns.Conn
}

// release gives back a successor that is not used.
func (s *successor) release() {
	s.slot.Cancel()
	_ = s.conn.Close()
}

// connect opens a connection to the endpoint of a slot, while the watched send goes on.
// The lock must be held.
func (w *watchdog) connect(slot *pick.Slot) {
	w.cancelReservation()
	w.connecting = true
	go func() {
		conn, err := w.front.options.Pool.Get(w.ctx, slot.Endpoint.Address, w.job.needsNewConnection())
		w.connected(slot, conn, err)
	}()
}

// connected leaves the send for a successor that was reached, if that is still needed
// and permitted. Otherwise the send goes on, and an endpoint that can't be reached is
// not tried again.
func (w *watchdog) connected(slot *pick.Slot, conn *conns.Conn, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connecting = false
	cause := w.overdue()
	if err == nil && !w.stopped && cause != "" && w.permitted() == allowed {
		w.leave(cause, slot, conn)
		return
	}
	if err == nil {
		_ = conn.Close()
	} else if w.ctx.Err() == nil {
		slot.Suspect()
		w.request.Avoid = maps.Clone(w.request.Avoid) // a reservation may hold the old one
		w.request.Avoid[slot.Endpoint.ID] = true
		w.front.options.Log.Info("successor not reached", append(w.fields(cause), "successor", slot.Endpoint.ID, "error", err.Error())...)
	}
	slot.Cancel()
	if !w.stopped {
		w.reset(stallRecheck)
	}
}

// connection returns the connection of a request's next send: that of the successor, or
// one from the pool.
func (f *Front) connection(ctx context.Context, j *job, slot *pick.Slot) (*conns.Conn, error) {
	if conn := j.opened; conn != nil {
		j.opened = nil
		return conn, nil
	}
	return f.options.Pool.Get(ctx, slot.Endpoint.Address, j.needsNewConnection())
}

// releaseSuccessor gives back what is held for a next try that doesn't come.
func (j *job) releaseSuccessor() {
	if j.successor != nil {
		j.successor.release()
		j.successor = nil
	}
	if j.opened != nil {
		_ = j.opened.Close()
		j.opened = nil
	}
}
