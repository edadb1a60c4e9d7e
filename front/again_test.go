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

// logged makes a front write its log lines to memory.
func (w *world) logged() func(message string) []string {
	var mu sync.Mutex // a look at a broken endpoint may log after the answer
	var lines []string
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, line)
	}
	w.front.options.Log = funcr.NewJSON(write, funcr.Options{})
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

// A request that isn't sent again says in the log what was in the way, and what
// the decision went by.
func TestNotSentAgainIsLogged(t *testing.T) {
	broken := func(io.Writer, *http.Request) bool { return false }
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
			w := newWorld(t, "plain", newStub(t, "a", broken), newStub(t, "b", broken), newStub(t, "c", broken))
			w.front.options.Desk = newDesk(w.front.options.View, c.budget)
			lines := w.logged()
			is.Equal(w.call(t, "POST", c.path, nil).status, http.StatusBadGateway)
			w.http.Close() // the last line is written when the caller has its answer
			found := lines("not sent again")
			is.Equal(len(found), 1)
			for _, field := range append(c.want, `"id":"id-1"`, `"result":"unknown"`) {
				is.True(strings.Contains(found[0], field))
			}
			sends := lines("send ended")
			is.True(strings.Contains(sends[0], `"cause":"no answer"`))
			is.True(strings.Contains(sends[0], `"error":"`)) // what the cause stands for
		})
	}
}
