package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns how long the machine has been suspended since it booted: the
// difference of CLOCK_BOOTTIME, which includes that time, and CLOCK_MONOTONIC, which
// does not. It is 0 if one of them cannot be read.
func Suspended() time.Duration {
	var all, running unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil {
		return 0
	}
	return time.Duration(all.Nano() - running.Nano())
}
