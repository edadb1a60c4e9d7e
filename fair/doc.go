// Package fair tells which client accounts take more of the endpoints than is due to them,
// so that the requests of the others can go first while there isn't room for all.
//
// The work of an account is the endpoints' time that its requests took. It is kept as a
// sum that decays, so that daemons can add up what they know, and a daemon that starts
// again or isn't heard makes the sums less exact but nothing wrong. The known alternative,
// a counter of each account that is lifted when the account comes back (Sheng et al.,
// "Fairness in Serving Large Language Models", OSDI 2024), needs one place that sees all
// requests.
//
// The package is pure. It neither limits accounts nor refuses requests: room that nobody
// else wants is anybody's. Package pick orders the requests that wait.
package fair
