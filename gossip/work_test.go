package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fair"
)

// A relay's sum names the heaviest accounts only. A daemon that takes its own work off must
// not count it twice, nor leave accounts without work.
func TestOwnWorkIsTakenOff(t *testing.T) {
	for _, c := range []struct {
		name           string
		sum, own, want map[string]float64
	}{
		{"named", map[string]float64{"x": 9, "y": 2}, map[string]float64{"x": 3}, map[string]float64{"x": 6, "y": 2}},
		{"not named", map[string]float64{"x": 9, fair.Rest: 5}, map[string]float64{"a": 3}, map[string]float64{"x": 9, fair.Rest: 2}},
		{"all of it", map[string]float64{"x": 3, "y": 2}, map[string]float64{"x": 3}, map[string]float64{"y": 2}},
		{"newer than the sum", map[string]float64{"x": 3}, map[string]float64{"x": 4}, map[string]float64{}},
		{"a relay of an older build", nil, map[string]float64{"x": 4}, map[string]float64{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Message{Work: c.sum}.without(Message{Work: c.own}).Work, c.want)
		})
	}
}

// The delay counts the daemons that are heard.
func TestDelay(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	g := New(Options{Boot: func() time.Duration { return now }})
	is.Equal(g.Delay(), time.Duration(0))
	g.peers["a"] = &peer{message: Message{Scope: Own}, lastHeard: now, interval: 100 * time.Millisecond}
	g.peers["b"] = &peer{message: Message{Scope: Own}, lastHeard: now - 10*time.Second, interval: time.Second}
	is.Equal(g.Delay(), 50*time.Millisecond)
	g.peers["r"] = &peer{message: Message{Scope: All}, lastHeard: now}
	g.relay = "r"
	is.Equal(g.Delay(), (followerRounds+1+followerCycle)*period/2)
}
