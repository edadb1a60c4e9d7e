package front

import (
	"fmt"
	"net/http"
	"os"
	"strings"
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

// Every metric is on the page for the engineer on call, by its full name.
func TestMetricsAreDescribed(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.ended("a", "served", http.StatusOK, time.Second)
	m.placed("m", "placed", 0)
	m.sends.WithLabelValues("m", "north", "settled").Inc()
	m.retries.WithLabelValues("failed").Inc()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	found, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(found), 7)
	for _, metric := range found {
		is.True(strings.Contains(string(page), "`"+metric.GetName()+"`"))
	}
}
