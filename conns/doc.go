// Package conns is an HTTP/1.1 client with a pool of connections to endpoints. A
// connection carries one request at a time. Unlike an http.Transport, a Pool never
// retries a request by itself, it reports whether any byte of a failed request may
// have been sent, and it reuses a connection only if no unread bytes are left on
// it. Retries, the choice of an endpoint and the meaning of a response are up to
// the caller.
package conns
