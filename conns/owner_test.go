package conns

import (
	"context"
	"net/http"
	"sync"
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

// The same where the close comes at the moment at which the connection is returned.
func TestCloseAtReturnSparesNextRequest(t *testing.T) {
	is := is.New(t)
	address, _ := endpoint(t, respondWith(smallResponse))
	p := New(Dial)
	request := Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
	for range 50 {
		c, err := p.Get(context.Background(), address, false)
		is.NoErr(err)
		response, err := p.Send(context.Background(), c, request)
		is.NoErr(err)
		_, err = response.ReadAll(10)
		is.NoErr(err)
		var closed sync.WaitGroup
		closed.Go(func() { _ = c.Close() })
		response.Close()
		got, err := send(p, address, "")
		is.NoErr(err)
		is.Equal(got, "ok")
		closed.Wait()
	}
}
