package loader

import (
	"fmt"
	"reflect"
	"time"
)

// Ranges of a host's limits: neither units nor parts of them wrap, and each time fits a timer.
const (
	maxLimit     = 1 << 40
	maxCores     = 100_000
	maxSlots     = 100_000 // of one worker
	minTime      = time.Millisecond
	maxTime      = 30 * 24 * time.Hour
	maxTextBytes = 255 // hosts send their texts to one another
)

// rangeProblem returns why a limit can't be used, or "".
func rangeProblem(v reflect.Value) string {
	switch {
	case v.CanInt() && v.Int() < 0, v.CanFloat() && v.Float() < 0:
		return "must not be negative"
	case v.Type() == reflect.TypeFor[Duration]():
		if d := time.Duration(v.Int()); d != 0 && (d < minTime || d > maxTime) {
			return fmt.Sprintf("must be from %v to %v", minTime, maxTime)
		}
	case v.CanInt() && v.Int() > maxLimit:
		return fmt.Sprintf("must not be over %d", maxLimit)
	case v.CanFloat() && v.Float() > maxCores:
		return fmt.Sprintf("must not be over %d", maxCores)
	}
	return ""
}
