package placer

import (
	"math"
	"time"
)

const (
	// initialAnswerTime is the assumed time of a plain service's answer until the first one is
	// measured.
	initialAnswerTime = 40 * time.Millisecond
	// plainTargetShare is the part of its target that a plain service's answer may be expected
	// to take. Requests differ in their work: at twice the capacity of the test service, half
	// of the answers miss their target if all of it may be used, and one in fifty with this
	// share.
	plainTargetShare = 0.65
	// plainRounds is the wait that is allowed even if the target is shorter, in multiples of one
	// answer's time: the request's own, and that of one under way.
	plainRounds = 2.0
)

// rounds returns the time until a plain worker answers a request that is sent now, in
// multiples of one answer's time: its own, and a fraction for each request that waits.
func (w *worker) rounds() float64 {
	excess := len(w.flights) + 1 - w.Slots
	return 1 + float64(max(excess, 0))/float64(max(w.Slots, 1))
}

// setPlainTimes sets the times of a request at a plain worker.
func (v *View) setPlainTimes(c *candidate) {
	answer := inMilliseconds(v.answerTime(c.Service))
	c.ownTime = answer / float64(max(c.Slots, 1))
	c.wait = c.rounds() * answer
}

// maxPlainWait returns the maximum expected time of a plain service's answer, in milliseconds.
// The worker answers in order of arrival. If each request went by its own target, those with
// longer targets would keep the queue too long for equally urgent ones with shorter targets,
// and only they would be served. So the tightest recent target counts for all that are as
// urgent, or less.
func (v *View) maxPlainWait(req Request) float64 {
	return math.Max(plainTargetShare*inMilliseconds(v.recentTargets.tightest(req)), plainRounds*inMilliseconds(v.answerTime(req.Service)))
}

// learnPlain updates the time of a plain service's answer, without the wait for others, by
// which it is multiplied again for the next request. If the wait were included, each wait would
// make the next one look longer, and callers would be refused for a wait that does not exist.
// The time is the one measured by the request's host, as the report of its end arrives late.
func (v *View) learnPlain(service string, f *flight) {
	if f.took <= 0 {
		return // a host of an older version does not report it
	}
	sample := time.Duration(float64(f.took) / f.rounds)
	known := v.answerTime(service)
	v.answerTimes[service] = known + time.Duration(sampleWeight*float64(sample-known))
}

// answerTime returns the time of a plain service's answer without any wait for others.
func (v *View) answerTime(service string) time.Duration {
	if t, ok := v.answerTimes[service]; ok {
		return t
	}
	return initialAnswerTime
}
