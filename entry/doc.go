// Package entry serves the requests of callers, that is of client accounts. It
// handles chat completions, completions, calls to plain services (HTTP services
// without a model engine), the list of models, and the list of daemons that a
// caller may connect to.
//
// A completion is read and checked, a permit is requested from the gate of a
// replica (the daemon that limits the requests in progress there), and the
// request is dispatched to the replica's endpoint under that permit. The
// endpoint's event stream is put in order, resumed on a new connection where
// one fails, and forwarded to the caller. A refusal or error always says
// whether the request has run: no, unknown or yes.
//
// A request that isn't repeatable, in other words not idempotent, runs at most
// once. Package once keeps the record that ensures this across daemons and the
// answer that later attempts of the same request get.
//
// This package is the only one that retries. It has no queue and limits no
// endpoint's load, which package gate does. Package route orders the replicas
// by preference.
package entry
