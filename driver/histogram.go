package driver

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestTime is the longest time that a histogram tells apart; what takes longer
	// counts as that.
	longestTime = 2 * time.Minute
	// timeDigits is how many digits of a time it keeps.
	timeDigits = 3
)

// times is a histogram of times, to the microsecond.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times {
	return times{hdrhistogram.New(1, longestTime.Microseconds(), timeDigits)}
}

// record takes a time.
func (t times) record(took time.Duration) error {
	if err := t.h.RecordValue(min(took, longestTime).Microseconds()); err != nil {
		return fmt.Errorf("record %s: %w", took, err)
	}
	return nil
}

// at is the time below which so many of a hundred lie.
func (t times) at(percent float64) time.Duration {
	return time.Duration(t.h.ValueAtQuantile(percent)) * time.Microsecond
}

// milliseconds is the same in milliseconds.
func (t times) milliseconds(percent float64) float64 {
	return float64(t.at(percent)) / float64(time.Millisecond)
}
