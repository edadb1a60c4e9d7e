package hold

import (
	"sync"
	"time"
)

// Book accounts for the bytes held for all requests. Use New to create one; it is safe for
// concurrent use.
type Book struct {
	limits Limits

	mu      sync.Mutex
	shares  map[*Share]struct{}
	held    int64 // by all shares
	ending  int64 // by those that were told to end
	peak    int64 // highest value of held
	slow    int   // shares that are slow
	full    int64 // times that there was no room
	evicted map[Reason]int64
}

// New returns a Book with nothing held.
func New(l Limits) *Book {
	return &Book{limits: l, shares: map[*Share]struct{}{}, evicted: map[Reason]int64{}}
}

// Share is the part of one request. Its methods may be called concurrently.
type Share struct {
	reader
	book *Book
	end  func(Reason)
}

// Open returns the share of a request. The function end is called, outside the book's lock,
// if the request has to give way; it must not block.
func (b *Book) Open(deadline time.Time, end func(Reason)) *Share {
	s := &Share{reader: reader{deadline: deadline}, book: b, end: end}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Add asks for room for n more bytes and reports whether they may be held. Where there is
// none, slow readers are told to give way, as choose has it; what they hold counts as room.
// An event may always be held while none waits.
func (s *Share) Add(k Kind, n int64, now time.Time) bool {
	b := s.book
	b.mu.Lock()
	evicted, granted := b.add(s, k, n, now)
	b.mu.Unlock()
	for v, reason := range evicted {
		v.end(reason)
	}
	return granted
}

func (b *Book) add(s *Share, k Kind, n int64, now time.Time) (map[*Share]Reason, bool) {
	if k == Ahead && s.waiting > 0 && s.waiting+n > b.limits.Each {
		return nil, false
	}
	if k == Ahead && s.waiting <= 0 { // below, if what is added now was taken already
		s.count(n)
		s.wait(n, now)
		return nil, true
	}
	evicted, found := b.makeRoom(k, n, now)
	if !found || s.ended {
		return evicted, false
	}
	s.count(n)
	if k == Ahead {
		s.wait(n, now)
	}
	return evicted, true
}

// makeRoom tells readers to end until there is room for n bytes, and reports whether there
// is. It returns those that it told: nobody who still gets something, unless that makes the
// room.
func (b *Book) makeRoom(k Kind, n int64, now time.Time) (map[*Share]Reason, bool) {
	var evicted map[*Share]Reason
	for b.held-b.ending+n > b.limits.of(k) {
		v, reason := choose(b.shares, now, k)
		if v == nil {
			b.full++
			b.spare(evicted)
			return evicted, false
		}
		if evicted == nil {
			evicted = map[*Share]Reason{}
		}
		evicted[v] = reason
		v.setEnded(true)
	}
	for _, reason := range evicted {
		b.evicted[reason]++
	}
	return evicted, true
}

// spare takes out of those evicted all that still get something.
func (b *Book) spare(evicted map[*Share]Reason) {
	for v, reason := range evicted {
		if reason.class() > 0 {
			v.setEnded(false)
			delete(evicted, v)
			continue
		}
		b.evicted[reason]++
	}
}

// setEnded records whether the request was told to end, so that what it holds is room.
func (s *Share) setEnded(ended bool) {
	s.ended = ended
	if ended {
		s.book.ending += s.held
	} else {
		s.book.ending -= s.held
	}
}

// count adds n bytes, which may be negative, to what is held.
func (s *Share) count(n int64) {
	s.held += n
	s.book.held += n
	if s.ended {
		s.book.ending += n
	}
	s.book.peak = max(s.book.peak, s.book.held)
}

// wait adds n bytes, which may be negative, to what waits for the caller.
func (s *Share) wait(n int64, now time.Time) {
	s.waiting += n
	switch slow := !s.slow.IsZero(); {
	case s.waiting > 0 && !slow:
		s.slow = now
		s.moved = 0
		s.book.slow++
	case s.waiting <= 0 && slow:
		s.slow = time.Time{}
		s.book.slow--
	}
}

// Free returns n bytes of the kinds Request and Answer that are held no more.
func (s *Share) Free(n int64) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	s.count(-n)
}

// Deliver records that n of the bytes held, of an answer, wait for the caller from now on.
func (s *Share) Deliver(n int64, now time.Time) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	s.wait(n, now)
}

// Moved records that the caller took n of the bytes that wait for it. Those of Ahead are
// held no more.
func (s *Share) Moved(k Kind, n int64, now time.Time) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	s.moved += n
	s.wait(-n, now)
	if k == Ahead {
		s.count(-n)
	}
}

// Leave records that the caller left.
func (s *Share) Leave() {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	s.left = true
}

// Close ends the share, with all that it holds.
func (s *Share) Close() {
	b := s.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.shares[s]; !open {
		return
	}
	s.count(-s.held)
	s.wait(-s.waiting, time.Time{})
	delete(b.shares, s)
}

// State is what a Book accounts for.
type State struct {
	Held    int64 // bytes
	Peak    int64 // bytes
	Slow    int   // requests whose caller reads slowly
	Full    int64 // times that there was no room
	Evicted map[Reason]int64
}

// State returns the present state.
func (b *Book) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	evicted := map[Reason]int64{}
	for reason, n := range b.evicted {
		evicted[reason] = n
	}
	return State{Held: b.held, Peak: b.peak, Slow: b.slow, Full: b.full, Evicted: evicted}
}
