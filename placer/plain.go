package placer

import (
	"math"
	"time"
)

const (
	// serviceStart is the time of a plain service's answer until its own is known.
	serviceStart = 40 * time.Millisecond
	// plainShare is the part of its target that a plain service's answer may be expected
	// to take. The work of one request varies: at twice what the stand-in's service can do
	// half of the answers are late with the whole target, and one in fifty with this.
	plainShare = 0.65
	// plainRounds is how often the work of one request may pass before another is refused
	// where the target is shorter than that: its own, and one that is under way.
	plainRounds = 2.0
)

// rounds is how many times the work of one request passes until a plain worker has
// answered one that it is sent now: its own, and a part of one for each that waits.
func (w *worker) rounds() float64 {
	over := len(w.flights) + 1 - w.Slots
	return 1 + float64(max(over, 0))/float64(max(w.Slots, 1))
}

// plain sets what a request would make a plain worker do.
func (v *View) plain(o *option) {
	pace := inMilliseconds(v.paceOf(o.Service))
	o.own = pace / float64(max(o.Slots, 1))
	o.wait = o.rounds() * pace
}

// plainMost is the milliseconds that a plain service's answer may be expected to take.
// The worker answers in order: of callers that are as urgent as one another, those with
// the longer target would keep the queue beyond what the others can bear, and they alone
// would be served. So the tightest target counts for all, and for the less urgent.
func (v *View) plainMost(a Request) float64 {
	return math.Max(plainShare*inMilliseconds(v.demands.tightest(a)), plainRounds*inMilliseconds(v.paceOf(a.Service)))
}

// learnPlain takes the time of a plain service's answer, without the time that it waited for
// others: that is multiplied by the rounds before the next request again. Failure: each
// wait makes the next one look longer, and callers are refused for one that is not there.
// It is the time that the request's host saw, as word of its end comes late.
func (v *View) learnPlain(service string, f *flight) {
	if f.took <= 0 {
		return // a host of an older version does not say
	}
	sample := time.Duration(float64(f.took) / f.rounds)
	known := v.paceOf(service)
	v.pace[service] = known + time.Duration(paceWeight*float64(sample-known))
}

// paceOf is the time of a plain service's answer that waits for no other.
func (v *View) paceOf(service string) time.Duration {
	if pace, ok := v.pace[service]; ok {
		return pace
	}
	return serviceStart
}
