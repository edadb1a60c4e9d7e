// Package once keeps the at-most-once records of requests that are marked as
// not repeatable.
//
// Before such a request is dispatched, a record is created in the key-value
// service, under a key derived from the client account and the request's key.
// The daemon that creates the record holds the claim: it alone may run the
// request. The record is tied to no lease and no other daemon takes the claim
// over, so a holder that was paused or cut off can't cause a second run. A
// record is kept for twice the window in which a request may be repeated,
// counted from its creation.
//
// The package neither dispatches requests nor answers callers; package entry
// does both.
package once
