// Package bootclock reads a monotonic clock that includes the time during which the
// machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"tamarackreach/internal/model"
)

var start = time.Now()

// Now returns the time since boot. Where the kernel has no such clock, it returns
// the time since the start of the process by Go's monotonic clock, which stops
// while the machine is suspended.
func Now() model.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return model.Instant(time.Since(start))
	}
	return model.Instant(t.Nano())
}
