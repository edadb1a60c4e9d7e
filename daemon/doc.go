// Package daemon puts one `chead serve` process together: it builds the roles
// from the settings, connects them, and starts and stops them in order.
//
// It decides nothing of its own. Its Options hold what reaches outside the
// process, so that tests run whole fleets in one process.
package daemon
