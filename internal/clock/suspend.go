package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns how long the machine was suspended since it started: the
// difference of two kernel clocks of which only one counts that time. It is 0
// where the system does not tell.
func Suspended() time.Duration {
	var all, running unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil {
		return 0
	}
	return time.Duration(all.Nano() - running.Nano())
}
