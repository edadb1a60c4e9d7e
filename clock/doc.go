// Package clock waits. It is no source of time: that is package time, so that
// tests run on the false clock of testing/synctest.
package clock
