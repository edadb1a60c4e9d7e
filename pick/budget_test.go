package pick

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
)

// storm is a service that refuses requests for a time, while daemons are killed and
// started again. All daemons together share one retry budget.
type storm struct {
	daemons int
	rate    int           // callers' requests per second, at all daemons together
	failing float64       // share of the sends that are refused from failFrom on
	kills   []stormKill   // by time
	news    time.Duration // until a daemon's message is known to the others
	moved   time.Duration // when all callers go to the first fifth of the daemons, 0 for never
	ratio   float64       // of the budget that holds for all
	extra   float64       // of the same
	restart bool          // whether the killed daemons come back
}

// stormKill kills a share of the daemons, which are down for a time.
type stormKill struct {
	at, down time.Duration
	share    float64
}

const (
	stormWindow = 10 * time.Second
	failFrom    = 12 * time.Second // when the budgets' first window is over
	stormLength = 30 * time.Second
	mostSends   = 4
	stepLength  = 10 * time.Millisecond
	reportEvery = 100 * time.Millisecond
)

// stormDaemon is a daemon of a storm.
type stormDaemon struct {
	placer   *Placer
	backAt   time.Duration
	messages []gossip.Message // its latest ones, by time
}

// run returns the times of the requests and of the retries.
func (s storm) run() (requests, retries []time.Duration) {
	r := rand.New(rand.NewPCG(7, 9))
	began := time.Now()
	daemons := make([]*stormDaemon, s.daemons)
	for d := range daemons {
		daemons[d] = &stormDaemon{placer: s.start(began.Add(-time.Hour))}
	}
	kills := s.kills
	for now := time.Duration(0); now < stormLength; now = time.Since(began) {
		if len(kills) > 0 && now >= kills[0].at {
			s.kill(daemons, kills[0], now, r)
			kills = kills[1:]
		}
		for _, d := range daemons {
			if d.placer == nil && s.restart && now >= d.backAt {
				d.placer = s.start(time.Now())
			}
		}
		if now%reportEvery == 0 {
			s.exchange(daemons)
		}
		for r.Float64() < float64(s.rate)*stepLength.Seconds()/(1+float64(s.rate)*stepLength.Seconds()) {
			requests = append(requests, now)
			for range s.serve(daemons, now, r) {
				retries = append(retries, now)
			}
		}
		time.Sleep(stepLength)
	}
	return requests, retries
}

// start returns the placer of a daemon that starts.
func (s storm) start(since time.Time) *Placer {
	p := newFixture()
	p.options.Daemons = func() int { return max(6, p.heard) }
	p.options.Listed = func() int { return p.heard }
	p.options.Delay = func() time.Duration { return s.news }
	p.options.Boot = func() time.Duration { return time.Since(since) }
	p.options.Budget = func() Budget {
		const fraction = 0.88 // as the daemons have it
		return Budget{Ratio: s.ratio * fraction, Extra: s.extra * fraction, Window: stormWindow, Since: since}
	}
	return p
}

// kill ends a share of the daemons that run.
func (s storm) kill(daemons []*stormDaemon, k stormKill, now time.Duration, r *rand.Rand) {
	for _, i := range r.Perm(len(daemons))[:int(k.share*float64(len(daemons)))] {
		daemons[i].placer = nil
		daemons[i].messages = nil
		daemons[i].backAt = now + k.down
	}
}

// exchange lets each daemon report, and hear what the others reported some time ago.
func (s storm) exchange(daemons []*stormDaemon) {
	late := int(s.news / reportEvery)
	for _, d := range daemons {
		if d.placer != nil {
			d.messages = append(d.messages, d.placer.Report())
		}
	}
	for _, d := range daemons {
		if d.placer == nil {
			continue
		}
		var heard []gossip.Message
		for _, other := range daemons {
			if other != d && len(other.messages) > late {
				heard = append(heard, other.messages[len(other.messages)-1-late])
			}
		}
		d.placer.Update(heard, nil)
	}
}

// serve sends a request of a caller, and returns how many retries were allowed.
func (s storm) serve(daemons []*stormDaemon, now time.Duration, r *rand.Rand) int {
	n := len(daemons)
	if s.moved > 0 && now >= s.moved {
		n /= 5
	}
	d := daemons[r.IntN(n)]
	for d.placer == nil {
		d = daemons[r.IntN(n)] // callers try another one
	}
	d.placer.CountRequest("s")
	for retries := range mostSends {
		refused := now >= failFrom && r.Float64() < s.failing
		if !refused || retries == mostSends-1 || !d.placer.AllowRetry("s").Allowed {
			return retries
		}
	}
	return mostSends - 1
}

// excess returns how many more retries than the budget allows came in some window. The
// budget counts the requests of that window, the one before it or the one half a window
// before it, whichever has most.
func (s storm) excess(requests, retries []time.Duration) (worst int) {
	worst = -len(retries)
	for from := time.Duration(0); from <= stormLength-stormWindow; from += 100 * time.Millisecond {
		most := max(within(requests, from), within(requests, from-stormWindow), within(requests, from-stormWindow/2))
		worst = max(worst, within(retries, from)-int(s.ratio*float64(most)+s.extra))
	}
	return worst
}

// within returns how many times lie in the window from a time on.
func within(times []time.Duration, from time.Duration) (n int) {
	for _, t := range times {
		if t >= from && t < from+stormWindow {
			n++
		}
	}
	return n
}

// Guards against BUDGET: repeats of daemons that were killed, or that callers left, were
// forgotten, and the others and the next starts spent the budget once more.
func TestRetriesPileUpAroundKills(t *testing.T) {
	kill := func(at, down time.Duration, share float64) stormKill { return stormKill{at, down, share} }
	const s = time.Second
	for _, c := range []struct {
		name  string
		storm storm
	}{
		{"nothing else", storm{}},
		{"most are killed", storm{kills: []stormKill{kill(15*s, time.Hour, 0.6)}}},
		{"killed and started again", storm{kills: []stormKill{kill(15*s, s, 0.6)}, restart: true}},
		{"a series of kills", storm{kills: []stormKill{kill(14*s, s, 0.6), kill(17*s, s, 0.6), kill(20*s, s, 0.6)}, restart: true}},
		{"callers move", storm{moved: 15 * s}},
		{"little traffic", storm{rate: 60, kills: []stormKill{kill(18*s, s, 0.6), kill(21*s, s, 0.6)}, restart: true}},
		{"few daemons", storm{daemons: 6, rate: 100, extra: 100, kills: []stormKill{kill(15*s, s, 0.5), kill(18*s, s, 0.5)}, restart: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				storm := c.storm
				storm.failing, storm.ratio, storm.news = 0.6, 0.2, 400*time.Millisecond
				storm.daemons = cmp.Or(storm.daemons, 40)
				storm.rate = cmp.Or(storm.rate, 440)
				storm.extra = cmp.Or(storm.extra, 304)
				requests, retries := storm.run()
				excess := storm.excess(requests, retries)
				t.Logf("%d requests, %d retries, at most %d beyond the budget", len(requests), len(retries), excess)
				is.True(excess <= 0)                     // retries beyond the budget
				is.True(len(retries) >= len(requests)/9) // the budget is used
			})
		})
	}
}
