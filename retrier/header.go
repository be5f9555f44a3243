package retrier

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseSeconds parses the time in a Retry-After header, in seconds with or without a fraction.
// A longer time than limit is taken for limit. It returns false for a date and for anything
// else that is no time.
func ParseSeconds(text string, limit time.Duration) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, limit.Seconds()) * float64(time.Second)), true
}
