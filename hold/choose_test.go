package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const mb = 1 << 20

// after returns a time that many seconds after the start of a test.
func after(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// load is one slow reader: what is held for it, what it took since, and by when it must be done.
type load struct {
	name     string
	held     int64   // bytes
	moved    int64   // bytes
	slow     float64 // seconds after the start
	deadline float64 // seconds after the start
	left     bool
}

// open opens the share of a load. Those that are told to end add themselves to ended.
func (l load) open(b *Book, ended *[]string) *Share {
	s := b.Open(after(l.deadline), func(why Reason) { *ended = append(*ended, l.name+": "+why.String()) })
	if l.held > 0 {
		s.Add(Ahead, l.held, after(l.slow))
		s.Moved(Answer, 0, after(l.slow))
		s.moved = l.moved
		s.left = l.left
	}
	return s
}

// Where the bound is full, callers that get nothing any more give way first, the slowest one
// before; then those that are late, then the one with the least progress for its size, but
// that to answers alone. Each case is 40 MB of room held by slow readers, 10 s after the start.
func TestWhoGivesWay(t *testing.T) {
	steady := load{"steady", 10 * mb, 20 * mb, 0, 60, false}
	steadier := load{"steadier", 10 * mb, 40 * mb, 0, 60, false}
	late := load{"late", 10 * mb, mb / 10, 0, 60, false}
	later := load{"later", 10 * mb, mb / 20, 0, 60, false}
	left := load{"left", 10 * mb, 20 * mb, 0, 60, true}
	expired := load{"expired", 10 * mb, 10 * mb, 0, 10, false}
	fresh := load{"fresh", 10 * mb, 0, 9.5, 60, false}
	sound := load{"sound", 0, 0, 0, 60, false}
	for name, c := range map[string]struct {
		loads   []load
		kind    Kind
		granted bool
		ended   []string
	}{
		"one left":                       {[]load{steady, late, left, sound}, Request, true, []string{"left: caller left"}},
		"one left, a slower one expired": {[]load{left, late, expired, sound}, Request, true, []string{"expired: deadline passed"}},
		"one is late":                    {[]load{steady, late, steadier, sound}, Request, true, []string{"late: too slow for its deadline"}},
		"two are late":                   {[]load{steady, late, later, sound}, Request, true, []string{"later: too slow for its deadline"}},
		"late, read ahead":               {[]load{steady, late, steadier, sound}, Ahead, true, []string{"late: too slow for its deadline"}},
		"late, but that isn't enough":    {[]load{steady, late, steadier, steady, left}, Request, false, []string{"left: caller left"}},
		"all steady, request":            {[]load{steady, steadier, fresh, sound}, Request, false, nil},
		"all steady, read ahead":         {[]load{steady, steadier, fresh, sound}, Ahead, false, nil},
		"all steady, answer":             {[]load{steady, steadier, fresh, sound}, Answer, true, []string{"steady: least progress"}},
		"all fresh":                      {[]load{fresh, fresh, fresh, sound}, Answer, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(Limits{Total: 32 * mb, Each: 32 * mb})
			var ended []string
			for _, l := range c.loads {
				l.open(b, &ended)
			}
			asking := b.Open(after(60), func(Reason) { t.Error("the one that asks gives way") })
			if c.kind == Ahead {
				asking.Add(Ahead, 1, after(9.5)) // one event waits already
			}
			granted := asking.Add(c.kind, 3*mb, after(10))
			is.Equal(granted, c.granted)
			is.Equal(ended, c.ended)
		})
	}
}

// A daemon with 46 MB for it, 100 slow readers of 300 kB each and 1000 sound requests with
// bodies of 4 kB refuses nothing and ends nobody.
func TestUsualLoadFits(t *testing.T) {
	is := is.New(t)
	b := New(NewLimits(46_000_000))
	var ended []string
	for range 100 {
		s := load{"slow", 0, 0, 0, 60, false}.open(b, &ended)
		for range 300 {
			is.True(s.Add(Ahead, 1000, after(1)))
		}
	}
	for range 1000 {
		is.True(b.Open(after(60), nil).Add(Request, 4<<10, after(5)))
	}
	is.Equal(b.State().Slow, 100)
	is.Equal(b.State().Held, int64(100*300_000+1000<<12))
	is.Equal(len(ended), 0)
}

// Events read ahead may not take the room of requests, nor requests that of answers, and one
// reader may not take that of others; but each may hold one event, so that streams go on.
func TestRoomByKind(t *testing.T) {
	is := is.New(t)
	b := New(NewLimits(64 * mb))
	var readers []*Share
	for held := 0; held < 6; held++ {
		s := b.Open(after(60), nil)
		is.True(s.Add(Ahead, 8*mb, after(0)))
		is.True(!s.Add(Ahead, 1, after(0))) // its own bound
		readers = append(readers, s)
	}
	is.True(b.Open(after(60), nil).Add(Ahead, mb, after(0))) // one event
	request := b.Open(after(60), nil)
	is.True(request.Add(Request, 7*mb, after(0)))
	is.True(!request.Add(Request, mb, after(0)))
	answer := b.Open(after(60), nil)
	is.True(answer.Add(Answer, 8*mb, after(0)))
	is.True(!answer.Add(Answer, mb, after(0)))
	readers[0].Moved(Ahead, 8*mb, after(1))
	is.True(answer.Add(Answer, mb, after(1)))
	for _, s := range append(readers, request, answer) {
		s.Close()
		s.Close()
	}
	is.Equal(b.State(), State{Held: mb, Peak: 64 * mb, Slow: 1, Full: 2, Evicted: map[Reason]int64{}})
}

// A reader that caught up is judged anew: what it took before, or how long it waited for the
// endpoint, says nothing of its pace now.
func TestPaceIsOfThePresentBacklog(t *testing.T) {
	is := is.New(t)
	b := New(NewLimits(64 * mb))
	s := b.Open(after(60), nil)
	s.Add(Ahead, mb, after(0))
	s.Moved(Ahead, mb, after(1))
	is.Equal(b.State().Slow, 0)
	s.Add(Ahead, mb, after(50))
	is.Equal(s.judge(after(50.5), Answer), None)
	is.Equal(s.judge(after(51.5), Request), Late)
}
