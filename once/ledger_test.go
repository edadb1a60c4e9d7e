package once_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/store"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "20261203"}) }

const window = time.Hour

// deployment is the ledgers of some daemons over one store.
type deployment struct {
	network *fakes.Network
	store   *fakes.Store
	ledgers []*once.Ledger
}

func newDeployment(n int) *deployment {
	s := &deployment{network: fakes.NewNetwork(), store: fakes.NewStore()}
	s.network.Serve("kv:80", s.store)
	for i := range n {
		host := fmt.Sprintf("d%d", i)
		s.ledgers = append(s.ledgers, once.New(once.Options{
			Self:   host,
			Boot:   1,
			Store:  store.New("http://kv:80", s.network.Client(host).Do),
			Window: func() time.Duration { return window },
		}))
	}
	return s
}

func withDeployment(t *testing.T, n int, test func(t *testing.T, s *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeployment(n)
		defer s.network.Close()
		test(t, s)
	})
}

func request(key string) once.Request {
	return once.Request{Account: "desk", Key: key, Fingerprint: "body", Time: time.Now()}
}

// kindOf returns the kind of an *once.Error, or -1 for any other value.
func kindOf(err error) once.Kind {
	var claimErr *once.Error
	if errors.As(err, &claimErr) {
		return claimErr.Kind
	}
	return -1
}

func TestClaim(t *testing.T) {
	const none = once.Kind(-1)
	answer := once.Answer{Status: 200, Type: "text/plain", Body: []byte("done")}
	large := once.Answer{Body: make([]byte, once.MaxAnswerBody+1)}
	claimed := func(s *deployment) *once.Claim {
		claim, _, _ := s.ledgers[0].Claim(context.Background(), request("k"))
		return claim
	}
	ctx := context.Background()
	tests := []struct {
		name   string
		before func(s *deployment)
		change func(r *once.Request)
		kind   once.Kind
		stored bool
	}{
		{name: "first", kind: none},
		{name: "first, answer lost", before: func(s *deployment) { s.store.LoseAnswers(1) }, kind: none},
		{name: "store down", before: func(s *deployment) { s.store.Down(true) }, kind: once.Down},
		{name: "store hangs", before: func(s *deployment) { s.store.Hang(true) }, kind: once.Down},
		{name: "held by another", before: func(s *deployment) { claimed(s) }, kind: once.Pending},
		{name: "holder gone for long", before: func(s *deployment) { claimed(s); time.Sleep(30 * time.Minute) }, kind: once.Unknown},
		{name: "done", before: func(s *deployment) { _ = claimed(s).Finish(ctx, answer) }, kind: none, stored: true},
		{name: "done, answer large", before: func(s *deployment) { _ = claimed(s).Finish(ctx, large) }, kind: once.NotStored},
		{name: "done, write's answer lost", before: func(s *deployment) {
			c := claimed(s)
			s.store.LoseAnswers(1)
			_ = c.Finish(ctx, answer)
		}, kind: none, stored: true},
		{name: "lost", before: func(s *deployment) { _ = claimed(s).MarkLost(ctx) }, kind: once.Unknown},
		{name: "given up", before: func(s *deployment) { _ = claimed(s).Release(ctx) }, kind: none},
		{name: "another body", before: func(s *deployment) { claimed(s) }, change: func(r *once.Request) { r.Fingerprint = "x" }, kind: once.Reused},
		{name: "another account", before: func(s *deployment) { claimed(s) }, change: func(r *once.Request) { r.Account = "yard" }, kind: none},
		{name: "old", change: func(r *once.Request) { r.Time = r.Time.Add(-2 * window) }, kind: once.Expired},
		{name: "old and done", before: func(s *deployment) { _ = claimed(s).Finish(ctx, answer) }, change: func(r *once.Request) { r.Time = r.Time.Add(-2 * window) }, kind: none, stored: true},
		{name: "old and given up", before: func(s *deployment) { _ = claimed(s).Release(ctx) }, change: func(r *once.Request) { r.Time = r.Time.Add(-2 * window) }, kind: once.Expired},
		{name: "from the future", change: func(r *once.Request) { r.Time = r.Time.Add(window) }, kind: once.Future},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDeployment(t, 2, func(t *testing.T, s *deployment) {
				is := is.New(t)
				if test.before != nil {
					test.before(s)
				}
				r := request("k")
				if test.change != nil {
					test.change(&r)
				}
				limited, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				claim, stored, err := s.ledgers[1].Claim(limited, r)
				is.Equal(kindOf(err), test.kind)
				is.Equal(stored != nil, test.stored)
				is.Equal(claim != nil, test.kind == none && !test.stored)
			})
		})
	}
}

// TestDroppedClaim guards against a claim that blocks the caller's next attempt:
// the answer to its write is lost, and the time ends before it is read back.
func TestDroppedClaim(t *testing.T) {
	withDeployment(t, 1, func(t *testing.T, s *deployment) {
		is := is.New(t)
		s.store.Delay(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		s.store.LoseAnswers(1)
		_, _, err := s.ledgers[0].Claim(ctx, request("k"))
		is.Equal(kindOf(err), once.Down)
		claim, _, err := s.ledgers[0].Claim(t.Context(), request("k"))
		is.NoErr(err)
		is.True(claim != nil)
	})
}

func TestSweep(t *testing.T) {
	withDeployment(t, 1, func(t *testing.T, s *deployment) {
		is := is.New(t)
		for i := range 20 {
			_, _, err := s.ledgers[0].Claim(t.Context(), request(fmt.Sprint(i)))
			is.NoErr(err)
		}
		sweep := func() (deleted int) {
			for shard := range once.Shards {
				n, err := s.ledgers[0].Sweep(t.Context(), shard)
				is.NoErr(err)
				deleted += n
			}
			return deleted
		}
		time.Sleep(window)
		is.Equal(sweep(), 0)
		time.Sleep(window + 2*time.Minute)
		is.Equal(sweep(), 20)
	})
}

// TestAtMostOnce draws attempts at three keys through three ledgers, with a store
// that is down, slow, cut off or loses answers, and with holders that pause for up
// to 15 minutes before they run. No key may run twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawPlan(rt)
		var violation string
		synctest.Test(t, func(t *testing.T) {
			s := newDeployment(3)
			defer s.network.Close()
			violation = schedule.run(t.Context(), s)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// plan is a random schedule of attempts and faults.
type plan struct {
	attempts []attempt
	faults   []fault
}

type attempt struct {
	at, pause   time.Duration
	ledger, key int
	ending      int // finish, release or neither
}

type fault struct {
	at   time.Duration
	kind int
}

func drawPlan(rt *rapid.T) plan {
	seconds := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, most*10).Draw(t, "tenths")) * 100 * time.Millisecond
		})
	}
	drawAttempt := rapid.Custom(func(t *rapid.T) attempt {
		return attempt{
			at:     seconds(20).Draw(t, "at") + rapid.SampledFrom([]time.Duration{0, 0, 12 * time.Minute}).Draw(t, "later"),
			pause:  rapid.SampledFrom([]time.Duration{0, time.Second, 15 * time.Minute}).Draw(t, "pause"),
			ledger: rapid.IntRange(0, 2).Draw(t, "ledger"),
			key:    rapid.IntRange(0, 2).Draw(t, "key"),
			ending: rapid.IntRange(0, 2).Draw(t, "ending"),
		}
	})
	drawFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{at: seconds(20).Draw(t, "at"), kind: rapid.IntRange(0, 4).Draw(t, "kind")}
	})
	return plan{
		attempts: rapid.SliceOfN(drawAttempt, 2, 20).Draw(rt, "attempts"),
		faults:   rapid.SliceOfN(drawFault, 0, 6).Draw(rt, "faults"),
	}
}

func (p plan) run(ctx context.Context, s *deployment) string {
	var mu sync.Mutex
	runs := map[int]int{}
	var group sync.WaitGroup
	for _, f := range p.faults {
		group.Go(func() {
			time.Sleep(f.at)
			f.inject(s)
		})
	}
	for _, a := range p.attempts {
		group.Go(func() {
			time.Sleep(a.at)
			if a.execute(ctx, s) {
				mu.Lock()
				runs[a.key]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for key, n := range runs {
		if n > 1 {
			return fmt.Sprintf("key %d ran %d times", key, n)
		}
	}
	return ""
}

func (f fault) inject(s *deployment) {
	switch f.kind {
	case 0:
		s.store.LoseAnswers(2)
	case 1:
		s.store.Down(true)
		time.Sleep(2 * time.Second)
		s.store.Down(false)
	case 2:
		s.store.Delay(1500 * time.Millisecond)
		time.Sleep(3 * time.Second)
		s.store.Delay(0)
	case 3:
		s.network.Silence("d0", "kv")
	case 4:
		s.network.Reset("d1", "kv")
	}
}

// execute claims, pauses and ends a request as package entry does, and reports
// whether the request ran.
func (a attempt) execute(ctx context.Context, s *deployment) bool {
	limited, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	claim, _, err := s.ledgers[a.ledger].Claim(limited, request(fmt.Sprint(a.key)))
	if err != nil || claim == nil {
		return false
	}
	time.Sleep(a.pause)
	endCtx, cancelEnd := context.WithTimeout(ctx, 2*time.Second)
	defer cancelEnd()
	switch a.ending {
	case 0:
		_ = claim.Finish(endCtx, once.Answer{Status: 200})
		return true
	case 1:
		_ = claim.Release(endCtx)
		return false
	default:
		return true
	}
}
