package reply

// A body in chunks is followed only to find its trailer. Whether it is framed as it should be
// is up to net/http, which reads it too; where it isn't, no trailer is looked for.

// maxDigits is how many hexadecimal digits a chunk's size has at the most.
const maxDigits = 16

// beginChunk makes the next byte the first one of a chunk.
func (s *scanner) beginChunk() { s.at, s.size, s.digits = chunkSize, 0, 0 }

func (s *scanner) stepSize(b byte) {
	digit, hex := hexDigit(b)
	switch {
	case hex && s.digits < maxDigits:
		s.size = s.size<<4 | uint64(digit)
		s.digits++
	case hex || s.digits == 0:
		s.at = outside
	default:
		s.at = chunkLine
		s.stepLine(b)
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (byte, bool) {
	switch {
	case isDigit(b):
		return b - '0', true
	case 'a' <= b && b <= 'f':
		return b - 'a' + 10, true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// stepLine reads what follows a chunk's size. The chunk of size 0 is the last one.
func (s *scanner) stepLine(b byte) {
	switch {
	case b != '\n':
	case s.size == 0:
		s.at = lineStart
		s.trailer = true
	default:
		s.at = chunkData
	}
}

// skip passes over bytes of a chunk, at most n, and returns how many.
func (s *scanner) skip(n int) int {
	if uint64(n) < s.size {
		s.size -= uint64(n)
		return n
	}
	n = int(s.size)
	s.at = chunkEnd
	return n
}

func (s *scanner) stepChunkEnd(b byte) {
	switch b {
	case '\r':
	case '\n':
		s.beginChunk()
	default:
		s.at = outside
	}
}
