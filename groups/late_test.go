package groups

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// A late answer to an earlier request for a report is not taken for the present state: it
// would count as newer than the orders since.
func TestLateReportIsNotTaken(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	born, sequence := 7, 3
	k.options.Engines = &platform.Engines{Do: func(*http.Request) (*http.Response, error) {
		body := fmt.Sprintf(`{"phase":"both","models":[],"born":%d,"sequence":%d,"group":{"name":"","epoch":0,"rank":0,"state":""},"domain":"f","staged":[]}`, born, sequence)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
	}}
	for _, c := range []struct{ born, sequence, wantBorn, want int }{
		{7, 3, 7, 3}, {7, 2, 7, 3}, {7, 4, 7, 4}, {7, 3, 7, 4}, {8, 0, 8, 0},
	} { // another start counts anew
		born, sequence = c.born, c.sequence
		k.fetch(t.Context(), site.Endpoint{ID: "e", Address: "127.0.0.1:1"})
		got := k.reports["e"].state
		is.Equal(got.Started, int64(c.wantBorn))
		is.Equal(got.Sequence, int64(c.want))
	}
}
