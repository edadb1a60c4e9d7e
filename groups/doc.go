// Package groups forms groups of endpoints and repairs them. A group is the
// endpoints of one fabric domain that together serve one copy of a model; the first
// of its members is the leader, which takes the requests. The package does not
// dispatch requests to groups.
//
// Planner decides the orders to the endpoints from a snapshot of their states, without
// clock or network. It also reassigns endpoints to underserved models, and has models
// loaded onto hosts in advance. Keeper is the loop around it, which runs on every
// daemon but gives orders only on the one that is elected keeper.
//
// The state of an endpoint comes from two sources: its entry in the store, which may
// be outdated or written by another party, and its report, which is its own answer to
// a request of the keeper.
//
// Each endpoint is the authority on its own membership. It accepts an order only if
// the order carries the endpoint's present count of accepted orders, and never one
// with a lower fencing token than it has seen. So the plan need not be stored: a new
// keeper rebuilds it from the states of the endpoints, and orders of an older keeper
// that are still in flight are refused.
package groups
