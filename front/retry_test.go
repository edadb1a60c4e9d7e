package front

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
)

// captureLog makes the fixture's Front log to memory. It returns a function that
// returns the log lines with a given message.
func (f *fixture) captureLog() func(message string) []string {
	var mu sync.Mutex // the check for a crashed endpoint may log after the response
	var lines []string
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, line)
	}
	f.front.options.Log = funcr.NewJSON(write, funcr.Options{})
	return func(message string) []string {
		mu.Lock()
		defer mu.Unlock()
		var found []string
		for _, line := range lines {
			if strings.Contains(line, `"msg":"`+message+`"`) {
				found = append(found, line)
			}
		}
		return found
	}
}

// A request that is not retried must be logged with the reason and with the
// figures that the decision was based on. The route "read" of the fixture allows two
// attempts; requests of the route "file" may run only once.
func TestRetryDenialIsLogged(t *testing.T) {
	broken := func(io.Writer, *http.Request) bool { return false } // closes the connection without a response
	for _, c := range []struct {
		name   string
		path   string
		budget pick.Budget
		want   []string
	}{
		{"no budget", "/read/", pick.Budget{Window: time.Second}, []string{`"reason":"budget of repeats used up"`, `"spent":0`, `"budget":0`}},
		{"attempts", "/read/", pick.Budget{Extra: 20, Window: time.Second}, []string{`"reason":"route's attempts used up"`, `"ran":2`, `"attempts":2`}},
		{"once", "/file/", pick.Budget{Extra: 20, Window: time.Second}, []string{`"reason":"may not be repeated"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "plain", newStub(t, "a", broken), newStub(t, "b", broken), newStub(t, "c", broken))
			f.front.options.Placer = newPlacer(f.front.options.Snapshot, c.budget)
			lines := f.captureLog()
			is.Equal(f.call(t, "POST", c.path, nil).status, http.StatusBadGateway)
			f.http.Close() // the last line may be logged after the response
			found := lines("not sent again")
			is.Equal(len(found), 1)
			for _, field := range append(c.want, `"id":"id-1"`, `"result":"unknown"`) {
				is.True(strings.Contains(found[0], field))
			}
			sends := lines("send ended")
			is.True(strings.Contains(sends[0], `"cause":"no answer"`))
			is.True(strings.Contains(sends[0], `"error":"`)) // the text of the underlying error
		})
	}
}
