package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorSeconds returns the processor time that this process has used so far, in
// seconds; 0 if the system doesn't tell.
func processorSeconds() float64 {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}
