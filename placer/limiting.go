package placer

import (
	"math"
	"time"
)

const (
	// limitLeast is the requests a second that a worker gets at least, whatever it names:
	// from answers alone is known when it names none any more.
	limitLeast = 0.25
	// limitBurst is the time of its rate that a worker may get at once, and one request at
	// least.
	limitBurst = 500 * time.Millisecond
)

// limit is how many requests a second a worker takes from all hosts together, as a bucket of
// what it may get now. The zero limit is none.
type limit struct {
	rate float64 // requests a second; 0 is none
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
	l.rate = max(rate, limitLeast)
}

// most is the requests that may come at once.
func (l *limit) most() float64 { return max(1, l.rate*limitBurst.Seconds()) }

func (l *limit) fill(now time.Time) {
	l.room = min(l.room+l.rate*max(now.Sub(l.at).Seconds(), 0), l.most())
	l.at = now
}

// take counts a request, whoever sent it.
func (l *limit) take(now time.Time) {
	if l.rate > 0 {
		l.fill(now)
		l.room--
	}
}

// wait is how long until the worker may get a request; 0 is now.
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

// WorkerLimit is a worker and how many requests a second it takes.
type WorkerLimit struct {
	Worker string
	Rate   float64 // 0 is any number, from now on
}

// UpdateLimit takes how many requests a second a worker named as it answered a request; 0 where it
// named none. Known is what it was known to name as the request was placed, here or by the
// host that decided: an answer to what was sent before a limit was known tells nothing of
// its end. It returns true where other hosts may not know it.
func (v *View) UpdateLimit(now time.Time, worker string, rate, known float64) bool {
	w := v.workers[worker]
	if w == nil || rate <= 0 && known <= 0 {
		return false
	}
	was := w.limit.rate
	w.limit.set(now, rate)
	return w.limit.rate != was || w.limit.rate != known
}

// ReceiveLimit takes what a worker named to another host.
func (v *View) ReceiveLimit(now time.Time, n WorkerLimit) {
	if w := v.workers[n.Worker]; w != nil {
		w.limit.set(now, n.Rate)
	}
}

// Limits is the workers that name how many requests a second they take.
func (v *View) Limits() []WorkerLimit {
	var out []WorkerLimit
	for _, w := range v.order {
		if w.limit.rate > 0 {
			out = append(out, WorkerLimit{Worker: w.Name, Rate: w.limit.rate})
		}
	}
	return out
}

// RateLimit is how many requests a second a worker takes; 0 is any number.
func (v *View) RateLimit(worker string) float64 {
	if w := v.workers[worker]; w != nil {
		return w.limit.rate
	}
	return 0
}

// spent says that the worker got as many requests as it takes.
func (o *option) spent() bool { return o.free > 0 }

// limited refuses a request that no worker may get for the limits that they name: where
// each of them got as many as it takes, or where all name one and more urgent routes ask
// for all that they take.
func (v *View) limited(now time.Time, options []option, a Request) *Refusal {
	if len(options) == 0 {
		return nil
	}
	rate, soonest, all := 0.0, time.Duration(math.MaxInt64), true
	for i := range options {
		o := &options[i]
		all = all && o.limit.rate > 0
		rate += o.limit.rate
		soonest = min(soonest, o.free)
	}
	switch {
	case soonest > 0:
		return refusal("limit", soonest)
	case all && v.urgentRate(now, a) >= rate:
		return refusal("limit", time.Duration(float64(time.Second)/rate))
	}
	return nil
}

// urgentRate is the requests a second that are asked for of more urgent routes.
func (v *View) urgentRate(now time.Time, a Request) float64 {
	rate := 0.0
	for i := range v.offers[a.Service] {
		if x := &v.offers[a.Service][i]; x.tier < a.Tier {
			rate += x.now(now)
		}
	}
	return rate
}

// unspent is the options that may get a request.
func unspent(options []option) []option {
	out := options[:0]
	for i := range options {
		if !options[i].spent() {
			out = append(out, options[i])
		}
	}
	return out
}
