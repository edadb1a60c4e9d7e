// Package press compresses and expands what daemons send each other, with gzip. It keeps
// the state of the codec, which is far larger than most messages, between calls, and
// expands nothing beyond a limit. It knows nothing of what the bytes mean.
package press
