package driver

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTime is the longest time that a histogram distinguishes; longer times count as
	// maxTime.
	maxTime = 2 * time.Minute
	// significantDigits is the precision of a recorded time, in decimal digits.
	significantDigits = 3
)

// histogram records times in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxTime.Microseconds(), significantDigits)}
}

// record adds a time.
func (t histogram) record(took time.Duration) error {
	if err := t.h.RecordValue(min(took, maxTime).Microseconds()); err != nil {
		return fmt.Errorf("record %s: %w", took, err)
	}
	return nil
}

// percentile returns the time below which the given percentage of the recorded times lie.
func (t histogram) percentile(percent float64) time.Duration {
	return time.Duration(t.h.ValueAtQuantile(percent)) * time.Microsecond
}

// percentileMS is percentile in milliseconds.
func (t histogram) percentileMS(percent float64) float64 {
	return float64(t.percentile(percent)) / float64(time.Millisecond)
}
