package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// In any limitWindow a worker may receive limitFactor times the requests that its limit
	// allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// minLimitDuration is the minimum time that a limit is in force: longer than other
	// faults, so that it covers a whole limitWindow.
	minLimitDuration = 8 * time.Second
)

// rateLimit is a limit in requests per second that a worker reported for a time.
type rateLimit struct {
	worker   *worker
	rate     float64
	from, to time.Time
}

// limitWorker has a random worker report a rate limit for at least minLimitDuration, and
// returns the function that lifts it.
func (c *cluster) limitWorker(r *rand.Rand) func() {
	l := rateLimit{worker: c.anyWorker(r), rate: 0.5 + 2*r.Float64(), from: time.Now()}
	l.worker.SetLimit(l.rate)
	time.Sleep(minLimitDuration)
	return func() {
		l.to = time.Now()
		l.worker.SetLimit(0)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.limits = append(c.limits, l)
	}
}

// workersOverLimit describes each worker that received more requests than its limit allows.
// Only requests from undisturbed hosts count.
func (c *cluster) workersOverLimit() []string {
	undisturbed := map[string]bool{}
	for _, e := range c.exchanges {
		undisturbed[e.id] = e.undisturbed
	}
	var violations []string
	for _, l := range c.limits {
		got := l.worker.MaxArrivals(l.from.Add(undisturbedTime), l.to, limitWindow, func(id string) bool { return undisturbed[id] })
		if allowed := limitFactor*l.rate*limitWindow.Seconds() + limitSlack; float64(got) > allowed {
			violations = append(violations, fmt.Sprintf("%s, limited to %.2f requests/s, received %d in %s", l.worker.ID, l.rate, got, limitWindow))
		}
	}
	return violations
}
