package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the kernel started, including the time that the
// system was suspended, which the monotonic clock of package time omits. Use it
// to decide whether something with a limited validity, such as a lease, is still
// valid. It panics if the kernel has no boot clock.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: no boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
