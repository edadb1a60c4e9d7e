// Package clock reads the kernel's boot clock and sleeps until a context ends.
// Code reads the time of day from package time directly, so that its tests can
// run on the fake clock of testing/synctest.
package clock
