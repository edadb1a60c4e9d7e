package simul

import (
	"strconv"
	"strings"
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
