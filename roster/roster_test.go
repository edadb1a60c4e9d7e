package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/wire"
)

func TestEverybodyKnowsEverybody(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		nodes := c.startAll(9, 3)
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			is.Equal(len(n.roster.Daemons()), 9)
			is.Equal(c.standings(n.self.Id)[wire.Standing_STANDING_ALIVE], 9)
			is.True(n.roster.Joined())
		}
	})
}
