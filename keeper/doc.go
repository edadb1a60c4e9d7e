// Package keeper carries out placement. For each fabric domain that it keeps
// it probes the instances, has package fleet decide the next value, writes that
// under compare-and-swap, and only then orders the endpoints.
//
// Which daemon keeps a fabric domain is settled by a lease of the key-value
// service. The lease saves work and nothing else: two keepers at once can't
// place an instance twice, since each write rests on the value that it read,
// and each order carries the fencing number of the value that it came from.
// Which replica may serve is the business of package gate.
package keeper
