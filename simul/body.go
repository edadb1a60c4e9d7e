package simul

import (
	"io"
	"strconv"
	"strings"
	"time"
)

// Event returns an event of a stream. The name is that of the request, or empty
// where bodies name none.
func Event(number int, name string) string {
	text := "id: " + strconv.Itoa(number) + "\ndata: token"
	if name != "" {
		text += " " + name
	}
	return text + "\n\n"
}

const (
	minPadded = 64 << 10 // bytes of a request's body from which the events of its answer are padded
	padFactor = 11       // bytes of padding for each byte of the body
)

// padding returns the comment that is put before each event of the answer to a request with
// a body of some bytes.
func padding(body int) string {
	if body < minPadded {
		return ""
	}
	return ": " + strings.Repeat("p", padFactor*body) + "\n"
}

// Unpad returns the body of a stream, which may be cut short, without the padding due to the
// length in bytes of its request's body.
func Unpad(stream string, body int) string {
	if body < minPadded {
		return stream
	}
	stream = strings.ReplaceAll(stream, padding(body), "")
	whole := strings.LastIndex(stream, "\n\n") + len("\n\n")
	if whole < len("\n\n") {
		whole = 0
	}
	if strings.HasPrefix(stream[whole:], ":") {
		return stream[:whole] // a part of the next padding
	}
	return stream
}

// StreamBody returns the body of a complete stream of server-sent events that do not
// name their request.
func StreamBody(events int) string { return NamedStreamBody(events, "") }

// NamedStreamBody returns the body of a complete stream of server-sent events. The
// name is that of the request, or empty where bodies name none.
func NamedStreamBody(events int, name string) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(Event(i, name))
	}
	return b.String()
}

// PlainBody returns the named body with which a runner answers a plain call.
func PlainBody(runner, id string) string {
	return strings.Repeat("done by "+runner+" for "+id+"\n", plainLines)
}

// FailureBody returns the body of a failure.
func FailureBody(id string) string { return "failed: " + id + "\n" }

// sipPart is how many bytes of a body a runner reads at once.
const sipPart = 64 << 10

// readBody reads a request's body whole, since the server notices only then that the
// connection ends, and returns its length.
func (r *Runner) readBody(body io.Reader) int {
	for length := 0; ; {
		n, err := io.CopyN(io.Discard, body, sipPart)
		length += int(n)
		if err != nil {
			return length
		}
		time.Sleep(r.options.Sip)
	}
}
