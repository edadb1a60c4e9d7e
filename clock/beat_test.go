package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Loops of one period, or of a multiple of it, go on at the same moments whenever they began
// and whatever they take.
func TestBeatsCoincide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const period = 100 * time.Millisecond
		time.Sleep(7 * time.Millisecond)
		is.True(Beat(t.Context(), period))
		first := time.Now()
		time.Sleep(30 * time.Millisecond) // the work of a loop
		is.True(Beat(t.Context(), period))
		is.Equal(time.Since(first), period)
		time.Sleep(130 * time.Millisecond)
		is.True(Beat(t.Context(), period/2))
		is.Equal(time.Since(first), period+3*period/2)
	})
}

func TestBeatEndsWithTheContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!Beat(ctx, time.Hour))
}
