package pick

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/fair"
)

// rivalry is a load of client accounts with room for some requests a second. From the
// twelfth to the sixteenth second one account sends fifty times its usual.
type rivalry struct {
	accounts int
	each     int // requests per second of an account
	room     int // slots freed per second
}

const (
	surgeFrom = 12 * time.Second
	surgeTo   = 16 * time.Second
	surge     = 50
)

// run returns the share in time of the requests of the account that surges, and of the
// others, from the begin of the surge to two seconds after its end.
func (c rivalry) run(shared bool) (surging, others float64) {
	r := rand.New(rand.NewPCG(5, 6))
	q := &queue{}
	usage := fair.New(0)
	start := time.Unix(0, 0)
	var inTime, all [2]int
	for at := time.Duration(0); at < surgeTo+2*time.Second; at += time.Millisecond {
		now := start.Add(at)
		for a := range c.accounts {
			rate := c.each
			if a == 0 && at >= surgeFrom && at < surgeTo {
				rate *= surge
			}
			if r.Float64() < float64(rate)/1000 {
				q.waiting = append(q.waiting, &waiter{request: Request{Account: fmt.Sprint("a", a)}, inTimeUntil: now.Add(target - firstEvent)})
			}
		}
		if r.Float64() >= float64(c.room)/1000 || len(q.waiting) == 0 {
			continue
		}
		var levels func(string) int
		if shared {
			levels = usage.Levels(at)
		}
		w := q.order(now, levels)[0]
		q.remove(w)
		q.granted++
		usage.Add(at, w.request.Account, 10*time.Millisecond)
		if at < surgeFrom {
			continue
		}
		kind := min(1, len(w.request.Account)-2+int(w.request.Account[1]-'0'))
		all[kind]++
		if now.Before(w.inTimeUntil) {
			inTime[kind]++
		}
	}
	for _, w := range q.waiting {
		all[min(1, len(w.request.Account)-2+int(w.request.Account[1]-'0'))]++
	}
	return float64(inTime[0]) / float64(all[0]), float64(inTime[1]) / float64(all[1])
}

// One client account that sends fifty times its usual must not take the others' room; what
// they leave is its own.
func TestSurgeOfOneAccount(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	c := rivalry{accounts: 24, each: 12, room: 340}
	for _, p := range []struct {
		name   string
		shared bool
	}{{"by arrival", false}, {"fair shares", true}} {
		surging, others := c.run(p.shared)
		fmt.Fprintf(&table, "%-11s in time %.2f of the surging account's, %.2f of the others'\n", p.name, surging, others)
		t.Logf("%s: %.3f, %.3f", p.name, surging, others)
		if p.shared {
			is.True(others > 0.95)
			is.True(surging > 0)
		} else {
			is.True(others < 0.7)
		}
	}
	golden(t, "surge.golden", table.Bytes())
}

// While urgent requests keep coming, a less urgent one gets every eighth slot.
func TestLeastUrgentIsNotStarved(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := &queue{}
	level := func(string) int { return 0 }
	add := func(priority int) {
		q.waiting = append(q.waiting, &waiter{request: Request{Priority: priority}, inTimeUntil: now.Add(time.Second)})
	}
	for range 10 {
		add(2)
	}
	served := map[int]int{}
	for range 80 {
		add(0)
		w := q.order(now, level)[0]
		q.remove(w)
		q.granted++
		served[w.request.Priority]++
	}
	is.Equal(served, map[int]int{0: 70, 2: 10})
}

// An account without a name, or one that nothing is known of, is at the usual level.
func TestUnknownAccountIsNotLockedOut(t *testing.T) {
	is := is.New(t)
	usage := fair.New(0)
	for range 100 {
		usage.Add(0, "known", time.Second)
	}
	usage.Add(0, "other", time.Second)
	levels := usage.Levels(0)
	is.Equal(levels(""), 0)
	is.Equal(levels("unknown"), 0)
}
