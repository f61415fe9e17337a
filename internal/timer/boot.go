package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. Unlike the monotonic reading of
// Service.Now, it includes the time in which the machine was suspended, so that data
// received before a suspension isn't considered fresh after it.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock. Without it, the maximum makes all
		// earlier data count as expired.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
