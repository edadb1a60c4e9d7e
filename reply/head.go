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
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=part -output=part_string.go

// maxStatusLine is how many bytes of a status line are kept; those after the status don't
// matter.
const maxStatusLine = 64

// head reads the heads of messages byte by byte: those of informational answers, and that of
// the final answer.
type head struct {
	at            part
	line          []byte // the status line so far, up to maxStatusLine
	informational bool   // another head follows
}

// begin makes the next byte the first one of a head.
func (h *head) begin() { *h = head{at: statusLine, line: h.line[:0]} }

// read reads bytes of a message, and returns how many of them belong to an answer: all, or
// with an error those before the byte that shows that it is none.
func (h *head) read(p []byte) (int, error) {
	for i, b := range p {
		if h.at == outside {
			break
		}
		if err := h.step(b); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

// step reads one byte of a head.
func (h *head) step(b byte) error {
	switch h.at {
	case statusLine:
		return h.stepStatus(b)
	case lineStart:
		return h.stepStart(b)
	case fieldName:
		return h.stepName(b)
	case fieldValue:
		return h.stepValue(b)
	case lineEnd:
		return h.stepLineEnd(b)
	case headEnd:
		return h.stepHeadEnd(b)
	case outside:
	}
	return nil
}

func (h *head) stepStatus(b byte) error {
	if b != '\n' {
		if len(h.line) < maxStatusLine {
			h.line = append(h.line, b)
		}
		return nil
	}
	status, err := parseStatus(bytes.TrimSuffix(h.line, []byte("\r")))
	if err != nil {
		return err
	}
	h.informational = status < http.StatusOK
	h.at = lineStart
	return nil
}

// stepStart reads the first byte of a line after the status line. A line that begins with a
// blank would go on with the line before it; a gateway may refuse such an answer (RFC 9112,
// section 5.2).
func (h *head) stepStart(b byte) error {
	switch {
	case b == '\r':
		h.at = headEnd
	case b == '\n':
		return h.stepHeadEnd(b)
	case isToken(b):
		h.at = fieldName
	default:
		return fieldError(errName)
	}
	return nil
}

func (h *head) stepName(b byte) error {
	switch {
	case b == ':':
		h.at = fieldValue
	case !isToken(b):
		return fieldError(errName)
	}
	return nil
}

func (h *head) stepValue(b byte) error {
	switch {
	case b == '\r':
		h.at = lineEnd
	case b == '\n':
		h.at = lineStart
	case b < ' ' && b != '\t' || b == del:
		return fieldError(errValue)
	}
	return nil
}

func (h *head) stepLineEnd(b byte) error {
	if b != '\n' {
		return fieldError(errValue)
	}
	h.at = lineStart
	return nil
}

// stepHeadEnd reads the last byte of a head.
func (h *head) stepHeadEnd(b byte) error {
	switch {
	case b != '\n':
		return fieldError(errName)
	case h.informational:
		h.begin()
	default:
		h.at = outside
	}
	return nil
}

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

var (
	errVersion = errors.New("not of HTTP/1")
	errStatus  = errors.New("not of three digits from 100 to 599")
	errSwitch  = errors.New("a change of the protocol that wasn't asked for")
)

// parseStatus returns the status of a status line without its end. Codes beyond 599 are
// invalid (RFC 9110, section 15), and after 101 the connection carries another protocol,
// which no request of this program asks for.
func parseStatus(line []byte) (int, error) {
	const version = "HTTP/1.1" // or another digit at its end
	if len(line) <= len(version) || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[len(version)-1]) || line[len(version)] != ' ' {
		return 0, &Error{Op: "read", Kind: Status, Err: errVersion}
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(line[len(version):], " "), []byte(" "))
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
