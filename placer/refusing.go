package placer

import "time"

const (
	// noneAfter is what a caller is told where a service has no worker.
	noneAfter = 500 * time.Millisecond
	// refuseShare is the part of a request's time within which its first event must
	// be expected.
	refuseShare = 0.9
	// queueShare is the part of its target that a long prompt may wait for others to
	// be read.
	queueShare = 0.5
	// afterLeast is the least time that a refused caller is told to stay away.
	afterLeast = 100 * time.Millisecond
)

// refuse says that a request should not be sent to a worker. Where its first event
// would come after its caller has left, sending it would take reading from those that
// can still be served; so it is where its last one would. And a long prompt that would
// wait for most of its target makes all that follow it late as well: sent away for as
// long as that, it finds the queue short again, and is served no later than it would
// have been. What is read quickly is not worth sending away. That bound is on the queue
// alone, so that long prompts are not refused for the time that they take to read; and
// on what is as urgent or more, as to refuse a request for a less urgent one that is
// being read helps nobody.
func (v *View) refuse(o *option, a Request) *Refusal {
	wait := milliseconds(o.wait)
	bound := a.Left
	if a.FirstEventTimeout > 0 {
		bound = min(bound, a.FirstEventTimeout)
	}
	room := v.bound(o, a)
	switch {
	case !o.hasSlot():
		// An engine whose slots are taken runs one request more only in the place of
		// another, which it then reads in again.
		return refusal("slots", a.Target/2)
	case o.CacheTokens > 0 && v.guard.closed():
		return refusal("slots", max(a.Target/2, milliseconds(v.guard.held)))
	case o.CacheTokens == 0 && a.Target > 0 && o.wait > room:
		// Failure: more comes than the service can do, its queue grows to what callers
		// wait for at most, and all answers are late. With a short queue as many are
		// answered, in time.
		return refusal("queue", wait-a.Target/2)
	case wait > time.Duration(refuseShare*float64(bound)):
		return refusal("overload", wait-min(a.Target, bound))
	case o.end(a) > a.Left && v.demands.leastUrgent(a):
		// Failure: in a flood of prompts engines read without a pause, streams get a token
		// with each chunk, and the long ones are cut when their callers leave. Not sent, they
		// leave their reading to those that can be served. Of the least urgent route alone:
		// the streams of others are slowed by its prompts, and must not be refused for them.
		return refusal("length", o.end(a)-a.Left)
	case a.Target > 0 && o.own >= longLeast && o.equals > room:
		return refusal("queue", milliseconds(o.equals-room/2))
	}
	return nil
}

// refusal tells a caller to stay away for a time, and why.
func refusal(why string, after time.Duration) *Refusal {
	return &Refusal{RetryAfter: max(after, afterLeast), Reason: why}
}
