package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. Unlike the monotonic reading
// of Service.Now it includes the time in which the machine was suspended, so that
// what was learned before a suspension isn't taken for fresh after it.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock; without it the caller compares
		// with the farthest past and takes nothing for fresh.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
