package entry

import (
	"errors"

	"clementinehead.example/chead/engine"
)

// maxPending bounds the chunks that wait for a missing one before them.
const maxPending = 64

// errMissingChunks is the cause of a resumption that fetches missing chunks.
var errMissingChunks = errors.New("chunks are missing")

// sequence puts the chunks of one answer in order, over all its connections,
// and emits each of them once.
type sequence struct {
	next    int                  // offset of the chunk to emit next
	pending map[int]engine.Chunk // received chunks with larger offsets
	ended   bool                 // all chunks were emitted
}

// add emits a chunk and those that it completes. It returns errMissingChunks
// where too many chunks are missing, or the end arrives before them.
func (s *sequence) add(chunk engine.Chunk, emit func(engine.Chunk) error) error {
	if chunk.Last && chunk.Offset < 0 {
		return s.finish()
	}
	if chunk.Offset < s.next || s.ended {
		return nil
	}
	if chunk.Offset > s.next {
		return s.buffer(chunk)
	}
	if err := s.pass(chunk, emit); err != nil {
		return err
	}
	return s.flush(emit)
}

// finish handles an end without an offset, which is valid if no chunk is
// missing.
func (s *sequence) finish() error {
	if len(s.pending) > 0 {
		return errMissingChunks
	}
	s.ended = true
	return nil
}

// buffer keeps a chunk until those before it arrive.
func (s *sequence) buffer(chunk engine.Chunk) error {
	if len(s.pending) >= maxPending || chunk.Offset > s.next+maxPending {
		return errMissingChunks
	}
	if s.pending == nil {
		s.pending = map[int]engine.Chunk{}
	}
	s.pending[chunk.Offset] = chunk
	return nil
}

// pass emits the next chunk, or marks the end.
func (s *sequence) pass(chunk engine.Chunk, emit func(engine.Chunk) error) error {
	s.next = chunk.Offset + 1
	if chunk.Last {
		s.ended = true
		return nil
	}
	return emit(chunk)
}

// flush emits the pending chunks that are next.
func (s *sequence) flush(emit func(engine.Chunk) error) error {
	for !s.ended {
		chunk, ok := s.pending[s.next]
		if !ok {
			return nil
		}
		delete(s.pending, s.next)
		if err := s.pass(chunk, emit); err != nil {
			return err
		}
	}
	return nil
}
