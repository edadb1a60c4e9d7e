package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A caller gets an address from another daemon if the first one does not answer or
// names none, and an error if no daemon names one.
func TestCallerTriesOtherDaemons(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	notReady := httptest.NewServer(http.NotFoundHandler())
	defer notReady.Close()
	ready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"addresses":["127.0.0.1:7"]}`))
	}))
	defer ready.Close()
	c := callerCommand{Guides: []string{gone.Listener.Addr().String(), notReady.Listener.Addr().String(), ready.Listener.Addr().String()}}
	for range 30 {
		address, err := c.address()
		is.NoErr(err)
		is.Equal(address, "127.0.0.1:7")
	}
	for range 30 { // in either order
		_, err := callerCommand{Guides: c.Guides[:2]}.address()
		is.True(err != nil)
	}
}
