// Package front is the HTTP proxy that serves callers. For each request it finds
// the route and the client account, gets a slot at an endpoint from package pick,
// forwards the request, retries it at another endpoint where the route allows
// that, and forwards the response or the event stream to the caller. A send on which
// nothing comes goes on until another endpoint has answered. It also counts requests
// that crash endpoints, and refuses them. The choice of endpoints,
// the queues of waiting requests and the retry budget are up to package pick.
//
// A try of a request is the choice of a slot and the send to its endpoint. A
// request is repeatable if its route allows it to run more than once. A try that
// has certainly not run may be followed by another on every route; the route's
// limit of attempts counts only the tries that may have run.
package front
