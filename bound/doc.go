// Package bound reads what another process sends, up to a limit. What is longer is an
// error, so that nothing cut is taken for whole. It does not wait, retry or decode.
package bound
