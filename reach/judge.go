package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"clementinehead.example/chead/site"
)

// round is what came of asking endpoints.
type round struct {
	asked, answered int
	refused         int           // connections that were refused or reset, rather than not answered in time
	began           time.Duration // boot clock
	late            time.Duration // lateness of this process meanwhile
}

// ask asks some endpoints at random, all at once. If all refuse in doubt, it asks twice as
// many others: those may have crashed together.
func (r *Reach) ask(ctx context.Context) round {
	endpoints := r.options.Endpoints()
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	got := round{began: r.options.Boot()}
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	r.askAll(ctx, endpoints[:min(probed, len(endpoints))], &got)
	if r.State() != Cut && got.refused == got.asked {
		r.askAll(ctx, endpoints[got.asked:min(doubted, len(endpoints))], &got)
	}
	got.late = r.options.Late(got.began)
	return got
}

// askAll asks endpoints all at once, and adds what comes of it to a round.
func (r *Reach) askAll(ctx context.Context, endpoints []site.Endpoint, got *round) {
	answers := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() { answers <- r.options.Probe(ctx, e) }()
	}
	got.asked += len(endpoints)
	for range endpoints {
		switch err := <-answers; {
		case err == nil:
			got.answered++
			r.noteUsual(r.options.Boot() - got.began)
		case ctx.Err() == nil && !timedOut(err):
			got.refused++
		}
	}
}

// timedOut reports whether an error says that time ran out.
func timedOut(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// noteUsual records how long an answer took.
func (r *Reach) noteUsual(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usual = took
}

// timeout returns how long endpoints that are asked now may take to answer: while cut off
// longer, since then they may be slow, and a slow one must be able to end the cut.
func (r *Reach) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.State() == Cut {
		return slowTimeout
	}
	return min(slowTimeout, max(ProbeTimeout, 2*r.usual))
}

// judge sets the state by a round.
func (r *Reach) judge(got round) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case got.asked == 0:
		r.found() // there is nothing to be reached
	case r.State() == Doubt || r.State() == Slow:
		r.judgeDoubt(got)
	case r.State() == Cut:
		r.judgeCut(got)
	}
}

// judgeDoubt ends a doubt if any endpoint answered, also to a request while the round ran.
// If none did, the daemon is cut off unless there is evidence that endpoints are slow. The
// lock must be held.
func (r *Reach) judgeDoubt(got round) {
	switch {
	case got.answered > 0:
		if r.State() == Slow {
			r.log("endpoints reached again", got, None)
		}
		r.found()
		return
	case r.reached > got.began:
		r.set(Sound)
		return
	case got.late >= maxLate:
		return // asked again
	}
	if why := r.weigh(got); why != None {
		r.goOn(why, got)
		return
	}
	r.log("cut off from endpoints", got, None)
	r.set(Cut)
}

// judgeCut ends a cut once most endpoints answered in several rounds in a row, since the
// path may come and go. The lock must be held.
func (r *Reach) judgeCut(got round) {
	r.since = r.options.Boot()
	if 2*got.answered <= got.asked {
		r.sound = 0
		return
	}
	if r.sound++; r.sound >= soundRounds {
		r.log("endpoints reached again", got, None)
		r.found()
	}
}

// goOn sets that the daemon goes on though no endpoint answered. The lock must be held.
func (r *Reach) goOn(why Evidence, got round) {
	if r.State() != Slow || r.Evidence() != why {
		r.log("goes on without an answer of endpoints", got, why)
	}
	r.set(Slow)
	r.evidence.Store(int32(why))
}
