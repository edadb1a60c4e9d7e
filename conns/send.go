package conns

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/reply"
)

// Request is a request to an endpoint. Target is the request target as received
// from the caller.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is an endpoint's response. Its body is not read yet. The caller must
// close it with Close.
type Response struct {
	*http.Response
	pool     *Pool
	conn     *Conn
	method   string      // of the request
	stop     func() bool // cancels the closing of conn at the context's end; false if that has come
	consumed bool
	strayed  bool // a response to another request came before
}

// asyncWriteSize is the size in bytes above which a request is written in the
// background while its response is awaited, since an endpoint may respond before
// it has read the whole body.
const asyncWriteSize = 16 << 10

// Send sends a request over a connection and returns the response as soon as its
// header has been read, skipping informational responses. The connection is closed
// if the context ends before Response.Close. The kind of an error is Sent.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response := &Response{pool: p, conn: c, method: r.Method, stop: stop}
	head := r.encodeHead()
	c.link.Begin()
	if len(head)+len(r.Body) > asyncWriteSize {
		go c.write(head, r.Body)
		answered := make(chan struct{})
		defer close(answered)
		c.watchLong(answered)
	} else {
		c.write(append(head, r.Body...))
	}
	if err := response.readHead(); err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{Op: "send", Address: c.Address, Kind: Sent, Err: err}
	}
	return response, nil
}

// readHead reads the next response on the connection up to its body, skipping
// informational ones, all of them of at most maxHead bytes. On an error r is as before.
func (r *Response) readHead() error {
	r.conn.link.beginHead()
	defer r.conn.link.endHead()
	parsed, err := reply.Read(r.conn.link.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	r.Response = parsed
	return nil
}

// write writes a request, without a copy of its parts. The read of the answer returns its
// error, unless the answer is whole without the rest.
func (c *Conn) write(parts ...[]byte) { c.link.Sent(c.link.WriteBuffers(parts)) }

// encodeHead returns the request without its body in the wire format of HTTP/1.1.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), asyncWriteSize))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // writing to a buffer does not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Framed reports whether the end of the body is marked by its length or by
// chunked encoding, rather than by the end of the connection.
func (r *Response) Framed() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// ReadAll reads the whole body. A body of more than limit bytes is an error. The
// kind of an error is Sent.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := bound.ReadAll(r.Body, limit)
	if err != nil {
		return nil, &Error{Op: "read", Address: r.conn.Address, Kind: Sent, Err: err}
	}
	r.consumed = true
	return data, nil
}

// MarkConsumed records that the caller has read the body to its end, which allows
// the connection to be reused.
func (r *Response) MarkConsumed() { r.consumed = true }

// Close releases the connection. It returns to the pool if the context has not
// ended, the whole request was written, the body was read to its end (ReadAll or
// MarkConsumed), that end is marked (Framed), no response to another request came
// before (Next), and the response does not ask to close the connection; otherwise it
// is closed. The pool in turn closes a connection with
// unread bytes, and one that it has no space for. Calls after the first have no effect.
func (r *Response) Close() {
	stopped := r.stop()
	if !stopped || !r.consumed || r.strayed || r.Response.Close || !r.Framed() || !r.conn.link.Whole() {
		_ = r.conn.Close()
		return
	}
	if r.conn.end() {
		r.pool.put(r.conn.link, r.Header)
	}
}
