//go:build !linux

package stoatedge

import "time"

// uptime returns the monotonic time, which may not include the time for which the machine was suspended.
func uptime() time.Duration { return monotonic() }
