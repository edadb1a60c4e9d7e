// Package store is the client of the platform's key-value service. It covers
// reads, compare-and-swap writes, leases and long-poll watches, and also fetches
// the platform's list of instances.
//
// The client doesn't retry. It caches only the latest list of instances, which
// it requests again with the list's entity tag. A call whose answer was lost
// fails with the kind Lost: a write may have taken effect, and the caller has to
// read the key to find out.
package store
