package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A caller whose first choice of daemons is gone asks the others.
func TestCallerAsksAnotherDaemon(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	empty := httptest.NewServer(http.NotFoundHandler())
	defer empty.Close()
	there := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"addresses":["127.0.0.1:7"]}`))
	}))
	defer there.Close()
	c := callerCommand{Guides: []string{gone.Listener.Addr().String(), empty.Listener.Addr().String(), there.Listener.Addr().String()}}
	for range 30 {
		at, err := c.address()
		is.NoErr(err)
		is.Equal(at, "127.0.0.1:7")
	}
	for range 30 { // in either order
		_, err := callerCommand{Guides: c.Guides[:2]}.address()
		is.True(err != nil)
	}
}
