// Package entry is the callers' interface of a daemon: it admits requests,
// finds a replica, gets a permit from its gate, dispatches, passes the answer
// on and says truthfully what became of a request that has none.
//
// It is the only place that retries. It holds no queue and sets no limit on
// endpoints, which is the business of the package gate; the order in which
// replicas are asked is the package route's, and the records of not-repeatable
// requests are the package once's.
package entry
