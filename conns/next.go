package conns

import (
	"errors"
	"time"
)

// restTimeout bounds the wait for the rest of a response to an earlier request, which
// was made before the request that waits.
const restTimeout = 250 * time.Millisecond

// errNoNext is the cause of an error of Next after a response that ends with its
// connection.
var errNoNext = errors.New("no response can follow")

// Next replaces r by the next response on the connection. It is for a response to an
// earlier request, whose body it reads to its end, of at most limit bytes and for at
// most restTimeout. The connection will not be reused, since others like it may follow.
// The kind of an error is Sent.
func (r *Response) Next(limit int64) error {
	r.strayed = true
	if r.Response.Close || !r.Framed() {
		return &Error{Op: "next", Address: r.conn.Address, Kind: Sent, Err: errNoNext}
	}
	_ = r.conn.link.SetReadDeadline(time.Now().Add(restTimeout)) // fails only on a closed connection
	if _, err := r.ReadAll(limit); err != nil {
		return err
	}
	_ = r.conn.link.SetReadDeadline(time.Time{})
	r.consumed = false
	if err := r.readNext(); err != nil {
		return &Error{Op: "next", Address: r.conn.Address, Kind: Sent, Err: err}
	}
	return nil
}

// readNext reads the head of another response, of which a part may have been read with the
// last one.
func (r *Response) readNext() error {
	reader := r.conn.link.reader
	read, _ := reader.Peek(reader.Buffered()) // holds as much
	if err := r.conn.link.Again(read); err != nil {
		return err
	}
	return r.readHead()
}
