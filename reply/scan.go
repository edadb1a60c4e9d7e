package reply

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// part is the part of a message that the next byte belongs to.
type part int

// The values of part.
const (
	outside    part = iota // of any head: a body, or nothing that was asked for
	statusLine             // the first line of a head
	lineStart              // the first byte of a field line, or of the empty line that ends the head
	fieldName              // what comes before the colon
	fieldValue             // what comes after it
	lineEnd                // the LF after the CR of a field line
	headEnd                // the LF after the CR of the empty line
	chunkSize              // the digits of a chunk's size
	chunkLine              // what follows them on their line
	chunkData              // the bytes of a chunk
	chunkEnd               // the line end after them
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=part -output=part_string.go

// maxLine is how many bytes of a line are kept: those after the status don't matter, and the
// names that do are shorter.
const maxLine = 64

// scanner reads the heads of messages byte by byte: those of informational answers, that of
// the final answer, and the trailer after a body in chunks.
type scanner struct {
	at            part
	line          []byte // the status line or the field's name so far, up to maxLine
	informational bool   // another head follows
	old           bool   // it is of HTTP/1.0
	length        bool   // it states a length
	coded         bool   // it states a transfer coding
	size          uint64 // of a chunk: what is left of it, in bytes
	digits        int    // of its size, so far
	trailer       bool   // the field lines are those of the trailer
}

// begin makes the next byte the first one of a head.
func (s *scanner) begin() { *s = scanner{at: statusLine, line: s.line[:0]} }

// read reads bytes of a message, and returns how many of them belong to an answer: all, or
// with an error those before the byte that shows that it is none.
func (s *scanner) read(p []byte) (int, error) {
	for i := 0; i < len(p) && s.at != outside; {
		if s.at == chunkData {
			i += s.skip(len(p) - i)
			continue
		}
		if err := s.step(p[i]); err != nil {
			return i, err
		}
		i++
	}
	return len(p), nil
}

// step reads one byte of a head, or of what frames a chunk.
func (s *scanner) step(b byte) error {
	switch s.at {
	case statusLine:
		return s.stepStatus(b)
	case lineStart:
		return s.stepStart(b)
	case fieldName:
		return s.stepName(b)
	case fieldValue:
		return s.stepValue(b)
	case lineEnd:
		return s.stepLineEnd(b)
	case headEnd:
		return s.stepHeadEnd(b)
	case chunkSize:
		s.stepSize(b)
	case chunkLine:
		s.stepLine(b)
	case chunkEnd:
		s.stepChunkEnd(b)
	case outside, chunkData:
	}
	return nil
}

// keep adds a byte to what is kept of the line.
func (s *scanner) keep(b byte) {
	if len(s.line) < maxLine {
		s.line = append(s.line, b)
	}
}

func (s *scanner) stepStatus(b byte) error {
	if b != '\n' {
		s.keep(b)
		return nil
	}
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	status, err := parseStatus(line)
	if err != nil {
		return err
	}
	s.old = bytes.HasPrefix(line, []byte(major+"0"))
	s.informational = status < http.StatusOK
	s.at = lineStart
	return nil
}

// stepStart reads the first byte of a line after the status line. A line that begins with a
// blank would go on with the line before it; a gateway may refuse such an answer (RFC 9112,
// section 5.2).
func (s *scanner) stepStart(b byte) error {
	switch {
	case b == '\r':
		s.at = headEnd
	case b == '\n':
		return s.stepHeadEnd(b)
	case isToken(b):
		s.at = fieldName
		s.line = append(s.line[:0], b)
	default:
		return fieldError(errName)
	}
	return nil
}

func (s *scanner) stepName(b byte) error {
	switch {
	case b == ':':
		s.at = fieldValue
		s.length = s.length || strings.EqualFold(string(s.line), "Content-Length")
		s.coded = s.coded || strings.EqualFold(string(s.line), "Transfer-Encoding")
	case isToken(b):
		s.keep(b)
	default:
		return fieldError(errName)
	}
	return nil
}

func (s *scanner) stepValue(b byte) error {
	switch {
	case b == '\r':
		s.at = lineEnd
	case b == '\n':
		s.at = lineStart
	case b < ' ' && b != '\t' || b == del:
		return fieldError(errValue)
	}
	return nil
}

func (s *scanner) stepLineEnd(b byte) error {
	if b != '\n' {
		return fieldError(errValue)
	}
	s.at = lineStart
	return nil
}

// stepHeadEnd reads the last byte of a head or a trailer.
func (s *scanner) stepHeadEnd(b byte) error {
	switch {
	case b != '\n':
		return fieldError(errName)
	case s.informational:
		s.begin()
		return nil
	case s.coded && !s.trailer:
		s.beginChunk()
	default:
		s.at = outside
	}
	return s.checkFraming()
}

// checkFraming returns an error if the head tells in two ways where the body ends, or in one
// that its version of HTTP lacks (RFC 9112, sections 6.1 and 6.3).
func (s *scanner) checkFraming() error {
	if s.coded && (s.length || s.old) {
		return &Error{Op: "read", Kind: Framing, Err: errFraming}
	}
	return nil
}

var errFraming = errors.New("a transfer coding beside a length or in HTTP/1.0")

var (
	errName  = errors.New("a name that is no token")
	errValue = errors.New("a control byte in a value")
)

func fieldError(err error) error { return &Error{Op: "read", Kind: Field, Err: err} }

const del = 0x7f // the control byte after the printable ones of ASCII

// isToken reports whether a byte may be part of a field's name (RFC 9110, section 5.6.2).
func isToken(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', isDigit(b):
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// major begins each status line of HTTP/1; the digit of the minor version follows.
const major = "HTTP/1."

var (
	errVersion = errors.New("not of HTTP/1")
	errStatus  = errors.New("not of three digits from 100 to 599")
	errSwitch  = errors.New("a change of the protocol that wasn't asked for")
)

// parseStatus returns the status of a status line without its end. Codes beyond 599 are
// invalid (RFC 9110, section 15), and after 101 the connection carries another protocol,
// which no request of this program asks for.
func parseStatus(line []byte) (int, error) {
	minor, rest, spaced := bytes.Cut(bytes.TrimPrefix(line, []byte(major)), []byte(" "))
	if !bytes.HasPrefix(line, []byte(major)) || len(minor) != 1 || !isDigit(minor[0]) || !spaced {
		return 0, &Error{Op: "read", Kind: Status, Err: errVersion}
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, &Error{Op: "read", Kind: Status, Err: errStatus}
	}
	status := 100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0')
	switch {
	case status < http.StatusContinue || status > 599:
		return 0, &Error{Op: "read", Kind: Status, Err: errStatus}
	case status == http.StatusSwitchingProtocols:
		return 0, &Error{Op: "read", Kind: Status, Err: errSwitch}
	}
	return status, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
