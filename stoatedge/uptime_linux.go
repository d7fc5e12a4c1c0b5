package stoatedge

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since the machine booted, including the time for which it was suspended.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return monotonic()
	}
	return time.Duration(ts.Nano())
}
