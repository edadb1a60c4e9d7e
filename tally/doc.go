// Package tally counts what each client account received and was refused, and
// reports it.
//
// The usage counts of one boot of one daemon are passed around as a wire.Sheet.
// They are cumulative and merge by maximum, so sending or writing them twice does
// no harm. Each daemon sends its counts to a peer every two seconds and writes
// them to the key-value service every minute, one value per hour and boot. Where
// counts may be missing, the report states a gap with its bounds and never an
// estimate.
//
// The package neither meters nor limits requests; it only counts their final
// answers.
package tally
