package simul

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Faults are the faults of a Runner, each as the share of the requests that it
// affects. The seed, the names of runner and request and the number of the run
// determine what happens to a run. The tags are the help of chfake's flags.
type Faults struct {
	Seed     uint64  `help:"Seed of the faults."`
	Stutter  float64 `help:"Share of requests answered twice, the second time late and with any status."`
	Lose     float64 `help:"Share of requests that run and get no answer."`
	Reset    float64 `help:"Share of answers in which the connection is reset."`
	Truncate float64 `help:"Share of answers in which the connection is closed."`
	Unsized  float64 `help:"Share of whole answers without a length, which end with their connection."`
	Fail     float64 `help:"Share of requests answered with 500."`
	Expire   float64 `help:"Share of requests answered with 504 at their deadline."`
	Busy     float64 `help:"Share of requests that do not run and are answered so."`

	Waves time.Duration `help:"Busy holds only in every second span of this length, by the time of day; always where 0."`
}

// calm reports whether Busy doesn't hold at a time.
func (f Faults) calm(now time.Time) bool {
	return f.Waves > 0 && now.UnixNano()/int64(f.Waves)%2 == 0
}

// fault is what goes wrong with a run.
type fault int

const (
	sound fault = iota
	stutter
	lose
	reset
	truncate
	unsized
	fail
	expire
	busy
)

// draw returns what goes wrong with a run, and the source of its further chances.
func (f Faults) draw(runner, id string, run int) (fault, *rand.Rand) {
	h := fnv.New64a()
	fmt.Fprint(h, runner, "/", id, "/", run)
	chances := rand.New(rand.NewPCG(f.Seed, h.Sum64()))
	at := chances.Float64()
	for i, share := range []float64{f.Stutter, f.Lose, f.Reset, f.Truncate, f.Unsized, f.Fail, f.Expire, f.Busy} {
		if at < share {
			return fault(i) + stutter, chances
		}
		at -= share
	}
	return sound, chances
}
