//go:build !linux

package runner

import "time"

// bootTime returns 0: the time for which the machine was suspended is not known.
func bootTime() time.Duration { return 0 }
