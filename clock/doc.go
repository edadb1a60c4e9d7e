// Package clock waits. Time itself comes from package time, so that tests run
// on the false clock of testing/synctest.
package clock
