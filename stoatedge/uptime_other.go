//go:build !linux

package stoatedge

import "time"

// uptime is the steady time; on this system suspended time may be missing from it.
func uptime() time.Duration { return steady() }
