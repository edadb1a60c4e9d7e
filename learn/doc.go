// Package learn works out how many requests in progress an endpoint takes well, from
// what it shows: the times between events, to the first event or the answer, each with
// the load at which it was seen. A rejection or a failure counts as a time that misses
// what callers need.
//
// An endpoint is judged beside what its configuration states and beside the other
// endpoints of its model or service, so that one is limited only if it deviates from
// both by a clear margin. Sums of several daemons add up, so that endpoints are known
// where each daemon alone has few requests there.
//
// The package is pure: it has no clock, network or goroutine. It chooses no endpoint and
// passes nothing on; package pick does.
package learn
