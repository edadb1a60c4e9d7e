package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the kernel started, with the time that it was
// suspended, which the monotonic clock of package time leaves out. Whatever is
// only valid for a while is judged by it.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: no boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
