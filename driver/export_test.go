package driver

import "time"

// TimeAtPercentile records times and is that below which so many of a hundred lie.
func TimeAtPercentile(percent float64, recorded ...time.Duration) time.Duration {
	t := newTimes()
	for _, took := range recorded {
		if err := t.record(took); err != nil {
			panic(err)
		}
	}
	return t.at(percent)
}
