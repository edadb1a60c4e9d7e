package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/watch"
)

// A daemon that has just started holds a request until it has its first configuration,
// rather than refuse a caller that may not come again.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain", newStub(t, "a", signed(200, "the answer")))
	whole := f.snapshot.Load()
	f.snapshot.Store(&watch.Snapshot{})
	time.AfterFunc(100*time.Millisecond, func() { f.snapshot.Store(whole) })
	is.Equal(f.call(t, "POST", "/read/x", nil).status, 200)
}

// A daemon that has had no configuration for long refuses requests at once.
func TestRequestIsRefusedWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain", newStub(t, "a", signed(200, "the answer")))
	f.snapshot.Store(&watch.Snapshot{})
	f.front.began = time.Now().Add(-startWait)
	began := time.Now()
	got := f.call(t, "POST", "/read/x", nil)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(began) < startWait/2)
}
