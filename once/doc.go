// Package once keeps the at-most-once records of requests that are marked as
// not repeatable.
//
// A record is created in the key-value service before the request is
// dispatched, under a key made of the client account and the request's key. It
// is tied to no lease and nobody takes a claim over, so a holder that was
// paused or cut off can't be doubled. A record is kept for twice the window in
// which a request may be repeated, counted from its creation.
//
// The package dispatches nothing and answers no callers: that is the business
// of the package entry.
package once
