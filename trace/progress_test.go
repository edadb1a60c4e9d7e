package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const stopLog = `{"time":"2026-12-04T07:00:00.1Z","msg":"daemon leaves","daemon":"d","active":1,"connections":1}
{"time":"2026-12-04T07:00:00.2Z","msg":"request in progress","daemon":"d","id":"a","cause":"daemon leaves","endpoint":"e","sends":1,"events":2,"elapsed_ms":900,"left_ms":7100}
{"time":"2026-12-04T07:00:07.3Z","msg":"request in progress","daemon":"d","id":"a","cause":"daemon stops","endpoint":"e","sends":1,"events":9,"elapsed_ms":8000,"left_ms":0}
{"time":"2026-12-04T07:00:07.4Z","msg":"connections closed","daemon":"d","waiting":0,"crossed":0,"open":1}
`

// A request that was in progress as its daemon stopped has not ended by that line, and
// what the daemon logged next is shown.
func TestRequestInProgressIsNoEnd(t *testing.T) {
	is := is.New(t)
	logs := New("a")
	is.NoErr(logs.Read(strings.NewReader(stopLog)))
	trace, err := logs.Trace()
	is.NoErr(err)
	var text strings.Builder
	is.NoErr(trace.Write(&text))
	is.True(strings.Contains(text.String(), `no line tells of its end: it was in progress as its daemon logged "daemon stops", 8000 ms after its arrival, with 1 sends and 9 events`))
	is.True(strings.Contains(text.String(), "connections closed"))
	is.True(strings.Contains(text.String(), "daemon leaves active=1"))
}
