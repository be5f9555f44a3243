package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, also while it was suspended; 0 if it is not
// known.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
