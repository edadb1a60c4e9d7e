package front

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers of a route who all give the same deadline: a shorter one is a further try.
func TestPriorTimeOfEqualDeadlines(t *testing.T) {
	is := is.New(t)
	var d deadlines
	for range 20 {
		is.Equal(d.priorTime("r", 6*time.Second), time.Duration(0))
	}
	is.Equal(d.priorTime("r", 5*time.Second), time.Second)
	is.Equal(d.priorTime("r", 5900*time.Millisecond), time.Duration(0))
	is.Equal(d.priorTime("other", 5*time.Second), time.Duration(0))
}

// Callers give deadlines from 5.1 to 6 s at their first try. Taken by the longest one alone,
// five in six seemed to be further tries, most of them late already.
func TestPriorTimeOfUnequalDeadlines(t *testing.T) {
	is := is.New(t)
	var d deadlines
	r := rand.New(rand.NewPCG(1, 2))
	first := func() time.Duration {
		return 5100*time.Millisecond + time.Duration(r.Int64N(int64(900*time.Millisecond)))
	}
	for range 500 {
		d.priorTime("r", first())
	}
	firsts, further := 0, 0
	const tries = 1000
	for i := range tries {
		if d.priorTime("r", first()) > 0 {
			firsts++
		}
		if i%5 == 0 && d.priorTime("r", first()-1500*time.Millisecond) > 0 {
			further++
		}
	}
	is.True(firsts < tries/100)     // taken for further tries
	is.True(further > tries/5*9/10) // found, of a fifth as many
}
