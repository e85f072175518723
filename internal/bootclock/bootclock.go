// Package bootclock reads a clock that also counts the time for which the
// machine was suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"tamarackreach/internal/model"
)

var start = time.Now()

// Now returns the time since boot. Where the kernel has no such clock, the
// steady clock of the process serves, which stands still during a suspension.
func Now() model.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return model.Instant(time.Since(start))
	}
	return model.Instant(t.Nano())
}
