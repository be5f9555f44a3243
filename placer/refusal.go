package placer

import "time"

const (
	// noWorkersRetryAfter is the retry time if a service has no worker.
	noWorkersRetryAfter = 500 * time.Millisecond
	// maxWaitShare is the part of a request's time within which its first event must be
	// expected.
	maxWaitShare = 0.9
	// maxQueueShare is the part of its target for which a long prompt may wait for the prefill
	// of others.
	maxQueueShare = 0.5
	// minRetryAfter is the minimum retry time of a refused request.
	minRetryAfter = 100 * time.Millisecond
)

// refuse returns a refusal if a request should not be sent to a candidate. If its first or its
// last event would come after its caller has left, sending it would take prefill time from
// requests that can still be served. A long prompt that would wait for most of its target makes
// all that follow it late as well: if it returns after as long as that, it finds the queue
// short again and is served no later than otherwise. Short prompts are not worth a refusal.
// That bound only applies to the queue, so that long prompts are not refused for their own
// prefill; and only to flights that are at least as urgent, as refusing a request because of a
// less urgent one under way has no benefit.
func (v *View) refuse(c *candidate, req Request) *Refusal {
	wait := milliseconds(c.wait)
	bound := req.Left
	if req.FirstEventTimeout > 0 {
		bound = min(bound, req.FirstEventTimeout)
	}
	maxQueue := v.bound(c, req)
	switch {
	case !c.hasSlot():
		// An engine whose slots are taken only runs one more request by preempting another,
		// which it has to prefill again.
		return newRefusal("slots", req.Target/2)
	case c.CacheTokens > 0 && v.reservation.exhausted(c):
		return newRefusal("slots", max(req.Target/2, milliseconds(v.reservation.holdTime)))
	case c.CacheTokens == 0 && req.Target > 0 && c.wait > maxQueue:
		// Without this, a queue beyond the service's capacity grows to the longest time that
		// callers wait, and all answers are late. With a short queue as many are answered, in
		// time.
		return newRefusal("queue", wait-req.Target/2)
	case wait > time.Duration(maxWaitShare*float64(bound)):
		return newRefusal("overload", wait-min(req.Target, bound))
	case v.preferred(req):
		return nil
	case c.expectedEnd(req) > req.Left && v.recentTargets.leastUrgent(req):
		// Without this, in a flood of prompts, engines prefill without a break, streams get one
		// token per chunk, and the long ones are cut when their callers leave. If those are not
		// sent, their prefill time goes to requests that can be served. This only applies to
		// the least urgent route: streams of other routes are slowed by its prompts, and must
		// not be refused for that.
		return newRefusal("length", c.expectedEnd(req)-req.Left)
	case req.Target > 0 && c.ownTime >= minLongPrefill && c.urgentBacklog > maxQueue:
		return newRefusal("queue", milliseconds(c.urgentBacklog-maxQueue/2))
	}
	return nil
}

// newRefusal returns a refusal with a reason and a retry time.
func newRefusal(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{RetryAfter: max(retryAfter, minRetryAfter), Reason: reason}
}
