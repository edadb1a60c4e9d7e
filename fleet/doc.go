// Package fleet computes which instances serve which replicas. Its functions
// are pure: from the stored values of the fabric domains, the configuration
// document and the results of probes, Step computes the next value of one
// fabric domain, and Orders computes the orders that bring the instances to it.
//
// It uses no goroutine, clock, network or store. Package keeper probes the
// instances, writes the values and sends the orders.
//
// Terms of this package:
//
//   - A group is a model in the configuration, with the number of its
//     replicas and the number of instances that each replica spans.
//   - The members of a replica are its instances. A spare is a live instance
//     in no replica.
//   - An instance is silent after several consecutive missed probes, and fit
//     if it counts as capacity.
//   - A fabric domain is unreachable while almost all of its instances are silent.
//     The keeper itself may then be cut off, so it moves nothing. After
//     Policy.UnreachableGrace its silent instances stop counting as capacity, and
//     other fabric domains may replace its replicas.
//   - A fencing token orders the decisions of a fabric domain. Each new
//     order of a replica has a higher one, and endpoints that check it refuse
//     lower ones.
//   - The gate of a replica is the daemon that issues the permits for its
//     requests.
package fleet
