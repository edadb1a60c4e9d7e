// Package store is the client of the platform's key-value service:
// compare-and-swap, leases, long-poll watches, and the platform's list of
// instances.
//
// It does not retry or decide, and keeps nothing but the latest list of
// instances, which it asks for by its tag. An answer that was lost is reported as
// such, since the write may have taken effect; the caller settles it by
// reading back.
package store
