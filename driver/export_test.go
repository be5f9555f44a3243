package driver

import "time"

// TimeAtPercentile records times and returns a percentile of them.
func TimeAtPercentile(percent float64, recorded ...time.Duration) time.Duration {
	t := newHistogram()
	for _, took := range recorded {
		if err := t.record(took); err != nil {
			panic(err)
		}
	}
	return t.percentile(percent)
}
