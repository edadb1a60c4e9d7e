package watch

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
)

// A relay's answer that unfolds without end is an error, and takes no more than a part of
// the smallest instance's memory.
func TestRelaysAnswerUnfoldsWithoutEnd(t *testing.T) {
	const most = 184 << 20 / 4 // bytes
	for _, again := range []string{"x", " ", `[{"key":"servers/a","revision":1},`} {
		t.Run(again[:1], func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			address := serveTest(t, func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				for _, name := range []string{headerEra, headerRevision, headerAge, headerHeld, headerOutage} {
					w.Header().Set(name, "1")
				}
				zip := gzip.NewWriter(w)
				text := strings.Repeat(again, 1<<16/len(again))
				for {
					if _, err := io.WriteString(zip, text); err != nil {
						return
					}
				}
			})
			w := newWatcher(t, address, nil, func() bool { return false })
			var err error
			peak := fakes.PeakHeap(func() { _, err = w.askRelay(t.Context(), address) })
			<-ended // the connection was closed
			is.True(err != nil)
			t.Logf("%d bytes at the most: %v", peak, err)
			is.True(peak < most)
		})
	}
}
