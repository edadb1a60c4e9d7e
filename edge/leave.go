package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/front"
)

// callerSide is the part of the daemon that callers connect to, and other daemons that send
// their callers' requests through it.
type callerSide struct {
	server   *http.Server
	listener net.Listener
	conns    *front.Callers
	peer     *http.Server // of the other daemons
	active   func() int   // requests in progress, those of other daemons too
}

// leave ends the work for callers within the grace period, by the times of stopTimes.
// Meanwhile it answers what callers send on open connections. It returns as soon as no
// connection or request is left, and ends the daemon's record once nothing needs it any more.
func (d *Daemon) leave(ctx context.Context, side callerSide, endRecord func()) {
	defer endRecord()
	began := time.Now()
	d.leaving.Store(true)
	times := newStopTimes(d.settings().grace())
	d.front.Leave()
	d.logStop("daemon leaves", side)
	d.front.LogProgress("daemon leaves")
	clock.Sleep(ctx, times.refuse-time.Since(began))
	d.front.Refuse()
	d.logStop("requests refused from now on", side)
	clock.Sleep(ctx, times.listen-time.Since(began))
	_ = side.listener.Close() // Serve then returns, open connections stay
	if !awaitCallers(ctx, side, times.idle, began.Add(times.answer)) {
		d.front.LogProgress("daemon answers")
		d.front.Answer()
		endRecord()
	}
	if !awaitCallers(ctx, side, 0, began.Add(times.cut)) {
		d.logStop("requests cut off", side)
		d.front.LogProgress("daemon stops")
		d.front.Cut()
	}
	settled := awaitCallers(ctx, side, 0, began.Add(times.cut+times.settle))
	_ = side.server.Close() // ends what waits for its caller
	if !settled {
		awaitCallers(ctx, side, 0, began.Add(times.cut+2*times.settle))
	}
	closePeer(ctx, side.peer, times.settle)
	closed, crossed := side.conns.Closed()
	d.options.Log.Info("connections closed", "waiting", closed, "crossed", crossed, "open", side.conns.Open(),
		"refused", d.front.Refused())
}

// removeTimeout is the time for the removal of the daemon's record.
func (d *Daemon) removeTimeout() time.Duration { return newStopTimes(d.settings().grace()).record }

// logStop logs a phase of the shutdown, with what is in progress.
func (d *Daemon) logStop(message string, side callerSide) {
	d.options.Log.Info(message, "active", d.front.Active(), "connections", side.conns.Open())
}

// callerPoll is the time between two looks at the callers' connections.
const callerPoll = 10 * time.Millisecond

// closePeer closes the server of the other daemons, once the answers that it has are sent or
// a time has passed.
func closePeer(ctx context.Context, peer *http.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_ = peer.Shutdown(ctx) // if it takes longer, the end of the daemon closes it
}

// awaitCallers closes connections that have waited for a request for at least a time,
// and reports whether all had ended by a time, with the requests from them and those of
// other daemons.
func awaitCallers(ctx context.Context, side callerSide, idle time.Duration, until time.Time) bool {
	for {
		side.conns.CloseWaiting(idle)
		if side.conns.Open() == 0 && side.active() == 0 {
			return true
		}
		if !time.Now().Before(until) || !clock.Sleep(ctx, callerPoll) {
			return false
		}
	}
}
