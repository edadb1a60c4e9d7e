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

// Each request is counted once by its outcome and its client account. Accounts
// beyond maxAccountLabels share a label.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain", newStub(t, "a", signed(200, "x")))
	is.Equal(f.call(t, "POST", "/read/", nil).status, http.StatusOK)
	is.Equal(f.call(t, "POST", "/none/", nil).status, http.StatusNotFound)
	f.http.Close() // the request is counted after the response
	m := f.front.options.Metrics
	is.Equal(testutil.ToFloat64(m.accounts.WithLabelValues("guild", "served")), 1.0)
	is.Equal(testutil.ToFloat64(m.requests.WithLabelValues("refused", "404")), 1.0)
	is.Equal(testutil.ToFloat64(m.sends.WithLabelValues("", "north", "settled")), 1.0)
	is.Equal(testutil.CollectAndCount(m.wait), 1)

	many := NewMetrics(prometheus.NewRegistry())
	for i := range 3 * maxAccountLabels {
		many.observeEnd(fmt.Sprint(i), "served", http.StatusOK, time.Millisecond)
	}
	is.Equal(testutil.CollectAndCount(many.accounts), maxAccountLabels+1)
	is.Equal(testutil.ToFloat64(many.accounts.WithLabelValues(otherAccount, "served")), float64(2*maxAccountLabels))
}

// Every metric must be described under its full name on the page for operators.
func TestMetricsAreDescribed(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.observeEnd("a", "served", http.StatusOK, time.Second)
	m.observeWait("m", "placed", 0)
	m.observeLate("a")
	m.sends.WithLabelValues("m", "north", "settled").Inc()
	m.retries.WithLabelValues("failed").Inc()
	m.otherAnswers.WithLabelValues("reused", "504").Inc()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	found, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(found), 9)
	for _, metric := range found {
		is.True(strings.Contains(string(page), "`"+metric.GetName()+"`"))
	}
}
