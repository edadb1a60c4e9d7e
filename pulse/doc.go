// Package pulse measures how late this process runs: how long its goroutines wait for
// a processor, or how long the process was suspended. It tells a slow or suspended
// daemon from a peer that doesn't answer. It does not decide what follows from it.
package pulse
