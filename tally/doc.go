// Package tally counts what each client account received and was refused, and
// makes the report of it.
//
// Counts are cumulative for one boot of one daemon and merge by maximum, so a
// sheet that is sent or written twice does no harm. What can't be vouched for
// is reported as a gap with its bounds and never guessed.
package tally
