// Package hold accounts for the bytes that a daemon holds for callers and endpoints that
// read slowly, and decides who gives way where there is no more room. It has no clock,
// network or goroutine, and doesn't hold the bytes itself.
package hold
