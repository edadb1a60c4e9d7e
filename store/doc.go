// Package store is the client of the platform's key-value service:
// compare-and-swap, leases, long-poll watches, and the platform's list of
// instances.
//
// It does not cache, retry or decide. An answer that was lost is reported as
// such, since the write may have taken effect; the caller settles it by
// reading back.
package store
