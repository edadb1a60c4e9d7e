package conns

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A send that is broken off as its response ends must not close the connection under
// the next request, which may already use it.
func TestLateCloseSparesNextRequest(t *testing.T) {
	is := is.New(t)
	address, opened := endpoint(t, respondWith(smallResponse))
	p := New(Dial)
	first, err := p.Get(context.Background(), address, false)
	is.NoErr(err)
	request := Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
	response, err := p.Send(context.Background(), first, request)
	is.NoErr(err)
	_, err = response.ReadAll(10)
	is.NoErr(err)
	response.Close()
	second, err := p.Get(context.Background(), address, false)
	is.NoErr(err)
	_ = first.Close()
	response, err = p.Send(context.Background(), second, request)
	is.NoErr(err)
	response.Close()
	is.Equal(opened(), 1)
}
