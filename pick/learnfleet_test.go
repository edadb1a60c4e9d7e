package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/learn"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

const (
	learnSlots = 16
	learnTick  = 10 * time.Millisecond
	learnGap   = 150 * time.Millisecond // longest gap in aim
	streamTime = 100                    // events of a stream
)

// learnFleet is daemons before the engines of a model, some of which are slow.
type learnFleet struct {
	placers  []*Placer
	snapshot *watch.Snapshot
	random   *rand.Rand
	arrivals *rand.Rand
	slow     func(id string, load int) float64 // factor on the times of an endpoint
	load     map[string]int
	streams  []*learnStream
	reports  []gossip.Message
	cut      map[int]bool // daemons that hear and are heard no more
	fixed    bool         // learned limits aren't used
	arrived  int
	inAim    int // streams that ended without a longer pause than learnGap
	late     int // streams that had one
	refused  int
}

// learnStream is a stream in progress.
type learnStream struct {
	slot  *Slot
	next  time.Time
	left  int
	worst time.Duration
	last  time.Time
}

func newLearnFleet(daemons, endpoints int, seed uint64) *learnFleet {
	f := &learnFleet{
		snapshot: &watch.Snapshot{Config: &site.Config{
			Services: map[string]site.Service{"s": {Name: "s", Engine: &site.Engine{
				Slots: learnSlots, Stride: 1, Step: 20 * time.Millisecond, PerSeq: time.Millisecond, Models: []site.Model{{Name: "m", Size: 1, Pace: 1}},
			}}},
			Routes: []site.Route{{TargetGap: learnGap, TargetLatency: 500 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}}},
		}, Endpoints: map[string]site.Endpoint{}},
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), load: map[string]int{}, cut: map[int]bool{},
		slow: func(string, int) float64 { return 1 },
	}
	for i := range endpoints {
		id := fmt.Sprintf("e%02d", i)
		f.snapshot.Endpoints[id] = site.Endpoint{ID: id, Service: "s", State: site.State{
			Started: 7, Models: []string{"m"}, Member: site.Member{Group: id, Epoch: 1, Phase: site.Open},
		}}
	}
	began := time.Now()
	for range daemons {
		f.placers = append(f.placers, New(Options{
			Boot: func() time.Duration { return time.Hour + time.Since(began) }, Snapshot: func() *watch.Snapshot { return f.snapshot },
			Delay: func() time.Duration { return 150 * time.Millisecond }, Daemons: func() int { return daemons }, Listed: func() int { return daemons }, Reached: func() bool { return true }, CutOff: func() bool { return false },
			Late: func(time.Duration) time.Duration { return 0 }, Budget: func() Budget { return Budget{} }, Log: logr.Discard(), Random: f.random.Float64,
		}))
	}
	return f
}

// time returns the time to the next event at an endpoint.
func (f *learnFleet) time(id string) time.Duration {
	load := f.load[id]
	mean := float64(20*time.Millisecond+time.Duration(load)*time.Millisecond) * f.slow(id, load)
	return time.Duration(mean * (0.8 + 0.4*f.random.Float64()))
}

// arrive lets a request come to a random daemon.
func (f *learnFleet) arrive(t *testing.T) {
	f.arrived++
	slot, err := f.placers[f.random.IntN(len(f.placers))].Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: time.Second})
	if err != nil {
		f.refused++
		return
	}
	f.load[slot.Endpoint.ID]++
	now := time.Now()
	f.streams = append(f.streams, &learnStream{slot: slot, next: now.Add(f.time(slot.Endpoint.ID)), left: streamTime, last: now})
}

// advance lets the streams make progress.
func (f *learnFleet) advance() {
	now := time.Now()
	left := f.streams[:0]
	for _, s := range f.streams {
		if !now.Before(s.next) {
			s.worst = max(s.worst, now.Sub(s.last))
			s.last = now
			s.left--
			s.slot.Progress(true)
			s.next = s.next.Add(f.time(s.slot.Endpoint.ID))
		}
		if s.left > 0 {
			left = append(left, s)
			continue
		}
		f.load[s.slot.Endpoint.ID]--
		if s.worst > learnGap {
			f.late++
		} else {
			f.inAim++
		}
		s.slot.Done(false)
	}
	f.streams = left
}

// stop ends the streams in progress.
func (f *learnFleet) stop() {
	for _, s := range f.streams {
		if s.worst > learnGap {
			f.late++
		}
		s.slot.Done(false)
	}
	f.streams = nil
}

// exchange passes on what the daemons reported 100 ms before.
func (f *learnFleet) exchange() {
	sum := f.reports
	f.reports = nil
	for i, p := range f.placers {
		var heard []gossip.Message
		for j, m := range sum {
			if j != i && !f.cut[i] && !f.cut[j] {
				heard = append(heard, m)
			}
		}
		p.Update(heard, nil)
		for _, s := range p.endpoints {
			if f.fixed {
				s.learned.limiter = learn.Limiter{}
			}
		}
	}
	for i, p := range f.placers {
		m := p.Report()
		m.From.ID = fmt.Sprint(i)
		f.reports = append(f.reports, m)
	}
}

// run lets requests come at a rate per second for a time.
func (f *learnFleet) run(t *testing.T, d time.Duration, rate float64) {
	owed := 0.0
	for i := range int(d / learnTick) {
		if i%10 == 0 {
			f.exchange()
		}
		for owed += rate * learnTick.Seconds() * 2 * f.arrivals.Float64(); owed >= 1; owed-- {
			f.arrive(t)
		}
		f.advance()
		time.Sleep(learnTick)
	}
}

// limits returns the limits of an endpoint at the daemons.
func (f *learnFleet) limit(daemon int, id string) int {
	p := f.placers[daemon]
	return p.endpoint(id).learned.slots(f.snapshot.Endpoints[id], p.queue("s/m"), learnSlots)
}
