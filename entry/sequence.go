package entry

import (
	"errors"

	"clementinehead.example/chead/engine"
)

// maxAhead is the number of chunks that are held while one before them is
// missing.
const maxAhead = 64

// errHole is the cause of a resumption where chunks are missing.
var errHole = errors.New("chunks are missing")

// sequence puts the chunks of one answer in order, over all connections on
// which it comes: each is passed on once.
type sequence struct {
	next int                  // offset of the chunk to be passed on next
	held map[int]engine.Chunk // those behind it
	end  bool                 // the end was passed
}

// take passes on what a chunk makes ready. It returns errHole where too many
// chunks are missing, or the end came before them.
func (s *sequence) take(chunk engine.Chunk, emit func(engine.Chunk) error) error {
	if chunk.Last && chunk.Offset < 0 {
		return s.finish()
	}
	if chunk.Offset < s.next || s.end {
		return nil
	}
	if chunk.Offset > s.next {
		return s.hold(chunk)
	}
	if err := s.pass(chunk, emit); err != nil {
		return err
	}
	return s.release(emit)
}

// finish takes an end that has no offset: it counts where nothing is missing.
func (s *sequence) finish() error {
	if len(s.held) > 0 {
		return errHole
	}
	s.end = true
	return nil
}

func (s *sequence) hold(chunk engine.Chunk) error {
	if len(s.held) >= maxAhead || chunk.Offset > s.next+maxAhead {
		return errHole
	}
	if s.held == nil {
		s.held = map[int]engine.Chunk{}
	}
	s.held[chunk.Offset] = chunk
	return nil
}

func (s *sequence) pass(chunk engine.Chunk, emit func(engine.Chunk) error) error {
	s.next = chunk.Offset + 1
	if chunk.Last {
		s.end = true
		return nil
	}
	return emit(chunk)
}

// release passes on the held chunks that are next.
func (s *sequence) release(emit func(engine.Chunk) error) error {
	for !s.end {
		chunk, ok := s.held[s.next]
		if !ok {
			return nil
		}
		delete(s.held, s.next)
		if err := s.pass(chunk, emit); err != nil {
			return err
		}
	}
	return nil
}
