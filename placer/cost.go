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
	tightFactor = 2.0
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
func (v *View) cost(now time.Time, c *candidate, req Request) float64 {
	total := c.wait + c.currentPenalty(now)
	if c.Zone != cmp.Or(req.Zone, v.zone) {
		total += zoneCost
	}
	if now.Before(c.coldUntil) {
		total += coldCost
	}
	if c.CacheTokens == 0 {
		return total + loadCost*float64(len(c.flights))/float64(c.Slots)
	}
	total += prefillWeight*c.ownTime + fetchWeight*c.fetchDelay + c.pauseCost(now, req)
	if !v.ignoreEvictions {
		total += c.evictionCost(req)
	}
	if excess := len(c.flights) + 1 - c.Slots; excess > 0 {
		total += slotCost * float64(excess)
	}
	if room := memoryShare * float64(c.CacheTokens); float64(c.hold+req.Prompt+req.Output) > room {
		total += fullCost
	}
	return total
}

// evictionCost returns the time, in milliseconds, to prefill again what the engine would evict
// for the request, of parts that other requests use. Without it, engines with a full cache get
// more requests while their queue is short for a moment, though others have room; the evicted
// parts are prefilled again for the next requests, which lengthens the queues.
func (c *candidate) evictionCost(req Request) float64 {
	cached := req.Prompt - c.prefillTokens - c.fetchTokens
	uncached := -cached
	for _, p := range req.Parts {
		uncached += p.Tokens
	}
	evicted := c.cache.tokens + max(uncached, 0) - c.cacheRoom(c.hold+req.Prompt+req.Output)
	return float64(c.cache.sharedTokens(evicted)) / chunkTokens * c.prefillTime(chunkTokens, chunkTokens)
}

// pauseCost returns the cost, in milliseconds, of longer pauses in streams: in those at the
// worker, if this request's prefill delays one of their events too long; and in this request's
// own, if the worker has much to prefill. It separates long prompts from streams with tight
// targets.
func (c *candidate) pauseCost(now time.Time, req Request) float64 {
	limit := longPrefillShare * c.maxPrefillPause()
	cost := 0.0
	if c.ownTime > limit || c.delay(req) == 0 && c.ownTime+c.backlog > limit {
		cost += tightCost * c.tightStreams
	}
	cost += concurrentWeight * c.ownTime * c.tightStreams
	if req.Gap > 0 && inMilliseconds(req.Gap) < tightFactor*c.maxPrefillPause() {
		cost += riskCost*c.prefillLoad(now)/inMilliseconds(prefillLoadDecay) + followingWeight*math.Max(c.backlog-c.queueTime, 0)
	}
	return cost
}

// delay returns how long a long prompt waits at its host until the worker has prefilled the
// prompts that it was sent before, if prefilling both without a break would exceed the target
// for pauses of streams at the worker. In between, the streams get their next tokens.
func (c *candidate) delay(req Request) time.Duration {
	if c.ownTime < minLongPrefill || c.backlog == 0 || c.ownTime+c.backlog <= longPrefillShare*c.maxPrefillPause() || c.tightStreams == 0 {
		return 0
	}
	return min(milliseconds(c.backlog+decodePause), time.Duration(maxDelayShare*float64(req.Target)))
}
