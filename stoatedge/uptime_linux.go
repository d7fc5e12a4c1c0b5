package stoatedge

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime is the time since the machine was started, suspended time included.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return steady()
	}
	return time.Duration(ts.Nano())
}
