package front

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Each request is counted once by its end and its account, and accounts beyond
// the bound share a label.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "plain", newStub(t, "a", whole(200, "x")))
	is.Equal(w.call(t, "POST", "/read/", nil).status, http.StatusOK)
	is.Equal(w.call(t, "POST", "/none/", nil).status, http.StatusNotFound)
	w.http.Close() // counted after the answer
	m := w.front.options.Metrics
	is.Equal(testutil.ToFloat64(m.accounts.WithLabelValues("guild", "served")), 1.0)
	is.Equal(testutil.ToFloat64(m.requests.WithLabelValues("refused", "404")), 1.0)
	is.Equal(testutil.ToFloat64(m.sends.WithLabelValues("", "north", "settled")), 1.0)
	is.Equal(testutil.CollectAndCount(m.waited), 1)

	many := NewMetrics(prometheus.NewRegistry())
	for i := range 3 * mostAccounts {
		many.ended(fmt.Sprint(i), "served", http.StatusOK, time.Millisecond)
	}
	is.Equal(testutil.CollectAndCount(many.accounts), mostAccounts+1)
	is.Equal(testutil.ToFloat64(many.accounts.WithLabelValues(otherAccount, "served")), float64(2*mostAccounts))
}
