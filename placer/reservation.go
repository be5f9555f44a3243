package placer

import (
	"math"
	"time"
)

const (
	// reserveDeviations is the number of standard deviations of the more urgent requests for
	// which slots are kept free, and maxReserveShare the maximum part of one engine's slots
	// kept for them.
	reserveDeviations = 2.0
	maxReserveShare   = 0.25
	// pooledDeviations is the same for all engines together: a request may go to any of them.
	pooledDeviations = 3.0
)

// reservation is the demand of routes more urgent than a request's for slots of its service's
// engines.
type reservation struct {
	rate     float64 // requests per second of those routes
	holdTime float64 // milliseconds for which one of them takes a slot
	present  int     // such requests at the engines
	free     int     // slots that are not taken

	streamTime float64 // expected milliseconds from the request's first event to its last
	delayShare float64 // part of its prefill for which it delays streams beside it
}

// reserve sets the slots reserved for more urgent routes. Without it, in a flood of every kind,
// less urgent requests fill the slots; and as engines that prefill their prompts give each
// stream a token per chunk, the more urgent ones hold their slots for longer and are refused.
// The demand follows from the offered load, including what was refused: derived from the
// requests at the engines, it would fall with each refusal. The route decides, not the
// organisation: the long prompts of an urgent organisation would keep out the short ones of all
// others.
func (v *View) reserve(now time.Time, candidates []candidate, req Request) reservation {
	var r reservation
	if len(candidates) == 0 || candidates[0].CacheTokens == 0 {
		return r
	}
	heldTokens := 0
	for i := range candidates {
		c := &candidates[i]
		r.present += c.urgentCount
		r.free += max(c.Slots-len(c.flights), 0)
		heldTokens += c.hold
	}
	n := float64(len(candidates))
	tokens, prefill := r.addDemand(now, v.offered[req.Service], req.Tier)
	if r.rate > 0 {
		f := candidates[0].fit
		hold := float64(heldTokens) / n
		tokenTime := f.tokenTime(hold, prefill/n/1000)
		r.holdTime = f.overhead() + tokens/r.rate*tokenTime
		r.streamTime = v.expectedOutput(req) * tokenTime
		r.delayShare = 1 - f.tokenTime(hold, 0)/f.tokenTime(hold, 1)
	}
	r.reservePerEngine(candidates)
	return r
}

// addDemand sets the rate of more urgent requests, and returns their output tokens per second
// and the milliseconds per second that engines prefill beside them. Requests less urgent than
// this one are left out: they are refused first, so that engines do not prefill them for long.
func (r *reservation) addDemand(now time.Time, list []tierLoad, tier int) (tokens, prefill float64) {
	for i := range list {
		x := &list[i]
		switch {
		case x.tier < tier:
			rate := x.currentRate(now)
			r.rate += rate
			tokens += rate * x.expectedOutput()
			prefill += rate * x.prefill
		case x.tier == tier:
			prefill += x.currentAssigned(now)
		}
	}
	return tokens, prefill
}

// expectedOutput returns the output tokens of a request, corrected by recent answers. Requests of
// the least urgent route count as endless: otherwise their short ones take the slots that more
// urgent requests are refused.
func (v *View) expectedOutput(req Request) float64 {
	if v.recentTargets.leastUrgent(req) {
		return math.Inf(1)
	}
	return float64(req.Output) * v.offered.tier(req.Service, req.Tier).outputRatio()
}

// tokenTime returns the milliseconds per token of a stream at an engine that holds so many
// tokens and prefills for the given part of its time. While it prefills, a token takes as long
// as a chunk, otherwise as long as a step.
func (f *fit) tokenTime(hold, prefillShare float64) float64 {
	context := contextMillis * hold / 1000
	step := stepMillis + context
	chunkTime := max(f.prefillTime(chunkTokens, chunkTokens)+context, step)
	prefillShare = min(prefillShare, 1)
	return 1 / (prefillShare/chunkTime + (1-prefillShare)/step)
}

// reservePerEngine reserves slots of each engine for the expected fluctuation of the more
// urgent requests: a multiple of the standard deviation of their number.
func (r reservation) reservePerEngine(candidates []candidate) {
	if r.present == 0 {
		return
	}
	n := float64(len(candidates))
	slots := min(reserveDeviations*math.Sqrt(float64(r.present)/n), pooledDeviations*math.Sqrt(float64(r.present))/n)
	for i := range candidates {
		c := &candidates[i]
		c.reserved = int(math.Ceil(math.Min(slots, maxReserveShare*float64(c.Slots))))
	}
}

// hasSlot reports whether an engine has a slot that is neither reserved nor left to other
// hosts.
func (c *candidate) hasSlot() bool {
	return c.CacheTokens == 0 || len(c.flights)+max(c.reserved, c.margin, c.resumable) < c.Slots
}

// wanted returns the slots that more urgent routes will want, besides those that they have,
// while a candidate has the request.
func (r reservation) wanted(c *candidate) float64 {
	need := r.rate * r.holdTime / 1000
	share := r.share(c)
	return share*(need-float64(r.present)) + reserveDeviations*math.Sqrt(share*need)
}

// share returns the part of their time for which more urgent requests find a slot less: the
// request's own, and those of the streams that it delays at the candidate. Without it, short
// requests are refused for slots that are wanted after their end.
func (r reservation) share(c *candidate) float64 {
	if r.holdTime <= 0 {
		return 1
	}
	slotTime := c.wait + r.streamTime + r.delayShare*float64(c.urgentCount)*c.ownTime
	return min(slotTime/r.holdTime, 1)
}

// exhausted reports whether more urgent routes will want all free slots.
func (r reservation) exhausted(c *candidate) bool {
	return r.rate > 0 && float64(r.free) <= r.wanted(c)
}

// offeredLoad returns a request as offered load. Its prefill is that at the best candidate.
func (req Request) offeredLoad(c *candidate) OfferedLoad {
	x := OfferedLoad{Service: req.Service, Tier: req.Tier, Count: 1, Output: req.Output}
	if c != nil && c.CacheTokens > 0 {
		x.Prefill = milliseconds(c.ownTime)
	}
	return x
}

// recordPrefill records the prefill work of a flight that was sent to an engine.
func (v *View) recordPrefill(now time.Time, w *worker, f *flight) {
	if w.CacheTokens == 0 {
		return
	}
	v.offered.tier(w.Service, f.Tier).assign(now, f.prefillLeft)
	f.tokenTime = v.tokenTime(now, w)
}

// tokenTime returns the milliseconds per token of a stream at the engines of a worker's
// service, given their current load.
func (v *View) tokenTime(now time.Time, w *worker) float64 {
	prefill := v.offered.assigned(now, w.Service) / float64(max(v.WorkerCount(w.Service), 1))
	return w.fit.tokenTime(float64(w.hold), prefill/1000)
}

// learnLength estimates the output tokens of a complete stream from its duration and the time
// per token at its start and its end.
func (v *View) learnLength(now time.Time, w *worker, f *flight, o Outcome) {
	if w.CacheTokens == 0 || !o.answered() || f.Output <= 0 || !f.begun {
		return
	}
	took := inMilliseconds(now.Sub(f.sentAt) - f.took)
	v.offered.tier(w.Service, f.Tier).learn(float64(f.Output), 2*took/(f.tokenTime+v.tokenTime(now, w)))
}
