package placer

import (
	"math"
	"time"
)

const (
	// minLimit is the minimum rate, in requests per second, that a worker gets regardless of the
	// limit that it states. Only its answers show that it no longer states one.
	minLimit = 0.25
	// limitBurst is the time for which a worker's rate may accumulate. The burst is one request
	// at least.
	limitBurst = 500 * time.Millisecond
)

// limit is a token bucket for the requests per second that a worker accepts from all hosts
// together. The zero limit is unlimited.
type limit struct {
	rate float64 // requests per second; 0 is unlimited
	room float64 // requests, as of at
	at   time.Time
}

func (l *limit) set(now time.Time, rate float64) {
	switch {
	case rate <= 0:
		*l = limit{}
		return
	case l.rate == 0:
		l.room, l.at = 1, now
	default:
		l.fill(now)
	}
	l.rate = max(rate, minLimit)
}

// burst returns the maximum number of requests at once.
func (l *limit) burst() float64 { return max(1, l.rate*limitBurst.Seconds()) }

func (l *limit) fill(now time.Time) {
	l.room = min(l.room+l.rate*max(now.Sub(l.at).Seconds(), 0), l.burst())
	l.at = now
}

// take counts a request of any host.
func (l *limit) take(now time.Time) {
	if l.rate > 0 {
		l.fill(now)
		l.room--
	}
}

// wait returns the time until the worker may get a request; 0 is now.
func (l *limit) wait(now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.fill(now)
	if l.room >= 1 {
		return 0
	}
	return time.Duration((1 - l.room) / l.rate * float64(time.Second))
}

// WorkerLimit is the number of requests per second that a worker accepts.
type WorkerLimit struct {
	Worker string
	Rate   float64 // 0 ends a limit
}

// UpdateLimit records the limit that a worker stated in an answer; rate is 0 if it stated none.
// The argument known is the limit that this host, or the one that decided, knew when it placed
// the request: the answer to a request that was sent before a limit was known does not end the
// limit. UpdateLimit reports whether other hosts may not know the limit.
func (v *View) UpdateLimit(now time.Time, worker string, rate, known float64) bool {
	w := v.workers[worker]
	if w == nil || rate <= 0 && known <= 0 {
		return false
	}
	previous := w.limit.rate
	w.limit.set(now, rate)
	return w.limit.rate != previous || w.limit.rate != known
}

// ReceiveLimit applies a limit that a worker stated to another host.
func (v *View) ReceiveLimit(now time.Time, n WorkerLimit) {
	if w := v.workers[n.Worker]; w != nil {
		w.limit.set(now, n.Rate)
	}
}

// Limits returns the workers that state a limit.
func (v *View) Limits() []WorkerLimit {
	var out []WorkerLimit
	for _, w := range v.sorted {
		if w.limit.rate > 0 {
			out = append(out, WorkerLimit{Worker: w.Name, Rate: w.limit.rate})
		}
	}
	return out
}

// RateLimit returns the requests per second that a worker accepts; 0 is unlimited.
func (v *View) RateLimit(worker string) float64 {
	if w := v.workers[worker]; w != nil {
		return w.limit.rate
	}
	return 0
}

// atLimit reports whether the worker has had as many requests as it accepts.
func (c *candidate) atLimit() bool { return c.limitWait > 0 }

// refuseByLimit refuses a request that no worker may get because of the limits: if all of them
// are used up, or if all workers have one and more urgent routes ask for all that they accept.
func (v *View) refuseByLimit(now time.Time, candidates []candidate, req Request) *Refusal {
	if len(candidates) == 0 {
		return nil
	}
	rate, soonest, all := 0.0, time.Duration(math.MaxInt64), true
	for i := range candidates {
		c := &candidates[i]
		all = all && c.limit.rate > 0
		rate += c.limit.rate
		soonest = min(soonest, c.limitWait)
	}
	switch {
	case soonest > 0:
		return newRefusal("limit", soonest)
	case all && v.urgentRate(now, req) >= rate:
		return newRefusal("limit", time.Duration(float64(time.Second)/rate))
	}
	return nil
}

// urgentRate returns the requests per second of more urgent routes.
func (v *View) urgentRate(now time.Time, req Request) float64 {
	rate := 0.0
	for i := range v.offered[req.Service] {
		if x := &v.offered[req.Service][i]; x.tier < req.Tier {
			rate += x.currentRate(now)
		}
	}
	return rate
}

// withinLimit returns the candidates that may get a request by what they state.
func withinLimit(candidates []candidate) []candidate {
	out := candidates[:0]
	for i := range candidates {
		if !candidates[i].atLimit() && !candidates[i].full {
			out = append(out, candidates[i])
		}
	}
	return out
}
