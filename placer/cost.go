package placer

import (
	"cmp"
	"math"
	"time"
)

const (
	// prefillWeight is the cost of a prefill for requests that queue behind it, as a multiple
	// of the time that it takes. It is added to the request's own wait.
	prefillWeight = 2.0
	// fetchWeight is the cost of fetching cached tokens, as a multiple of the time that it
	// takes. It is added to the request's own wait, as the links of both engines are in use
	// meanwhile.
	fetchWeight = 8.0
	// tightFactor is how many times a worker's longest prefill pause a stream's target must
	// exceed to be safe. The prediction is no more exact than that.
	tightShare = 2.0
	// tightCost is the cost, in milliseconds, of each stream whose pauses a long prompt would
	// stretch beyond their target.
	tightCost = 40.0
	// riskCost is the cost, in milliseconds, of a worker that prefills all the time, for a
	// stream whose pauses that would stretch.
	riskCost = 300.0
	// urgentWeight multiplies the cost of a stream's pauses for a less urgent prompt.
	urgentWeight = 3.0
	// concurrentWeight is the cost, for each stream with a tight target, of a prompt that is
	// prefilled beside it, as a part of the time that this takes.
	concurrentWeight = 0.05
	// followingWeight is the cost, for a stream with a tight target, of the prompts that the
	// worker will prefill after the stream's own, as a part of the time that this takes. The
	// stream runs beside all of it.
	followingWeight = 1.0
	// longPrefillShare is the part of a worker's longest prefill pause beyond which a prefill
	// counts as long.
	longPrefillShare = 0.45
	// prefillLoadDecay is the time constant with which recent prefill work is forgotten: about
	// the duration of a stream.
	prefillLoadDecay = 2 * time.Second
	// minLongPrefill is the prefill time, in milliseconds, from which a prompt may be delayed
	// for the sake of streams, or refused because of a long queue. Shorter ones neither stretch
	// pauses nor make others wait.
	minLongPrefill = 30.0
	// decodePause is the time, in milliseconds, that a worker gets for its streams between two
	// long prompts: four steps, enough for one event.
	decodePause = 24.0
	// maxDelayShare is the maximum part of its target for which a prompt is delayed.
	maxDelayShare = 0.4
	// slotCost is the cost, in milliseconds, of each request beyond an engine's slots. It waits
	// there, or preempts a less urgent stream, which is worse than any pause.
	slotCost = 1000.0
	// fullCost is the cost, in milliseconds, of an engine whose KV cache is full.
	fullCost = 100.0
	// memoryShare is the part of an engine's KV cache that running requests may fill before it
	// preempts some of them.
	memoryShare = 0.9
	// loadCost is the cost, in milliseconds, of a plain worker with all slots taken. It is
	// added to the wait, so that requests spread over idle workers.
	loadCost = 10.0
	// zoneCost is the round-trip time to another availability zone, in milliseconds.
	zoneCost = 2.8
	// coldCost is the cost, in milliseconds, of a worker that has just started.
	coldCost = 60.0

	// Penalties of a worker for a failed request, in milliseconds. A request without an answer
	// says more about the worker than an error that it reported, which may be the request's own
	// fault.
	brokenCost      = 400.0
	refusedCost     = 150.0
	erroredCost     = 25.0
	wrongWorkerCost = 2000.0
	maxPenalty      = 4000.0
	// penaltyDecay is the time constant with which penalties decay.
	penaltyDecay = 1500 * time.Millisecond

	// minSlowness and maxSlowness bound how far one worker may differ from its service's fit.
	minSlowness = 0.5
	maxSlowness = 4.0
)

// cost returns the cost of a candidate in milliseconds. The request goes to the lowest.
func (v *View) cost(now time.Time, o *candidate, a Request) float64 {
	c := o.wait + o.currentPenalty(now)
	if o.Zone != cmp.Or(a.Zone, v.zone) {
		c += zoneCost
	}
	if now.Before(o.coldUntil) {
		c += coldCost
	}
	if o.CacheTokens == 0 {
		return c + loadCost*float64(len(o.flights))/float64(o.Slots)
	}
	c += prefillWeight*o.ownTime + fetchWeight*o.fetchDelay + o.pauseCost(now, a)
	if !v.ignoreEvictions {
		c += o.evictionCost(a)
	}
	if over := len(o.flights) + 1 - o.Slots; over > 0 {
		c += slotCost * float64(over)
	}
	if room := memoryShare * float64(o.CacheTokens); float64(o.hold+a.Prompt+a.Output) > room {
		c += fullCost
	}
	return c
}

// evictionCost returns the time, in milliseconds, to prefill again what the engine would evict
// for the request, of parts that other requests use. Without it, engines with a full cache get
// more requests while their queue is short for a moment, though others have room; what they
// evict is prefilled again for the next requests, which lengthens the queues.
func (o *candidate) evictionCost(a Request) float64 {
	kept := a.Prompt - o.prefillTokens - o.fetchTokens
	fresh := -kept
	for _, p := range a.Parts {
		fresh += p.Tokens
	}
	lost := o.cache.tokens + max(fresh, 0) - o.cacheRoom(o.hold+a.Prompt+a.Output)
	return float64(o.cache.sharedTokens(lost)) / chunkTokens * o.prefillTime(chunkTokens, chunkTokens)
}

// pauseCost returns the cost, in milliseconds, of longer pauses in streams: in those at the
// worker, if this request's prefill delays one of their events too long; and in this request's
// own, if the worker has much to prefill. It separates long prompts from streams with tight
// targets.
func (o *candidate) pauseCost(now time.Time, a Request) float64 {
	long := longPrefillShare * o.maxPrefillPause()
	harm := 0.0
	if o.ownTime > long || o.delay(a) == 0 && o.ownTime+o.backlog > long {
		harm += tightCost * o.tightStreams
	}
	harm += concurrentWeight * o.ownTime * o.tightStreams
	if a.Gap > 0 && inMilliseconds(a.Gap) < tightShare*o.maxPrefillPause() {
		harm += riskCost*o.prefillLoad(now)/inMilliseconds(prefillLoadDecay) + followingWeight*math.Max(o.backlog-o.queueTime, 0)
	}
	return harm
}

// delay returns how long a long prompt waits at its host until the worker has prefilled what it
// was sent before, if prefilling both without a break would exceed the target for pauses of
// streams at the worker. In between, the streams get their next tokens.
func (o *candidate) delay(a Request) time.Duration {
	if o.ownTime < minLongPrefill || o.backlog == 0 || o.ownTime+o.backlog <= longPrefillShare*o.maxPrefillPause() || o.tightStreams == 0 {
		return 0
	}
	return min(milliseconds(o.backlog+decodePause), time.Duration(maxDelayShare*float64(a.Target)))
}
