package placer

import (
	"cmp"
	"math"
	"time"
)

const (
	// readWeight is what reading costs those that wait behind, beside the request
	// itself: as a part of its own reading time.
	readWeight = 2.0
	// fetchWeight is what a fetch of memory costs beside the request itself, as a part of
	// the time that it takes: both engines' links are taken meanwhile.
	fetchWeight = 8.0
	// tightShare is the part of a worker's longest stretch of reading that a target
	// for pauses must exceed to be safe: the prediction is no better than that.
	tightShare = 2.0
	// tightCost is the milliseconds that a stream counts whose pauses a long prompt
	// would stretch beyond their target.
	tightCost = 40.0
	// riskCost is the milliseconds that a worker that does nothing but read counts
	// for a stream whose pauses that would stretch.
	riskCost = 300.0
	// urgentWeight is how many times a stream counts for a prompt that is less urgent.
	urgentWeight = 3.0
	// besideWeight is what a stream with a tight target for pauses counts for a prompt that
	// is read beside it, as a part of the time that this takes.
	besideWeight = 0.05
	// behindWeight is what such a stream counts for prompts that the worker will read
	// after it, as a part of the time that takes: the stream runs beside all of it.
	behindWeight = 1.0
	// longRead is the part of a stretch beyond which reading counts as long.
	longRead = 0.45
	// readFades is the time in which what was read lately falls to a third: about as
	// long as a stream lasts.
	readFades = 2 * time.Second
	// longLeast is the milliseconds of reading from which a prompt is held back for the
	// worker to come to its streams, or sent away from a long queue: shorter ones stretch
	// nothing, and make nobody wait.
	longLeast = 30.0
	// stepPause is the milliseconds that a worker gets for its streams between two
	// long prompts: four steps, so that one event comes.
	stepPause = 24.0
	// pauseShare is the part of its target that a prompt is held back at most.
	pauseShare = 0.4
	// slotCost is the milliseconds that each request too many for an engine's slots
	// counts. It waits there, or takes a less urgent one's place in mid-stream; that
	// is dearer than any pause.
	slotCost = 1000.0
	// fullCost is the milliseconds that an engine whose memory is full counts.
	fullCost = 100.0
	// memoryShare is the part of an engine's memory that running requests may fill
	// before it takes them off again.
	memoryShare = 0.9
	// loadCost is the milliseconds that a plain worker's full slots count beside
	// the wait, so that requests spread over idle workers.
	loadCost = 10.0
	// zoneCost is the milliseconds of the way to another availability zone and back.
	zoneCost = 2.8
	// coldCost is the milliseconds that a worker that has just started counts.
	coldCost = 60.0

	// What a failed request makes its worker avoided by, in milliseconds. A broken
	// one says most; an error that the worker told may be the request's own fault.
	brokenCost  = 400.0
	refusedCost = 150.0
	erroredCost = 25.0
	misledCost  = 2000.0
	troubleMost = 4000.0
	// troubleFades is the time in which trouble falls to a third.
	troubleFades = 1500 * time.Millisecond

	// slownessLeast and slownessMost bound how one worker differs from its service's.
	slownessLeast = 0.5
	slownessMost  = 4.0
)

// cost is what decides between workers, in milliseconds.
func (v *View) cost(now time.Time, o *option, a Request) float64 {
	c := o.wait + o.avoided(now)
	if o.Zone != cmp.Or(a.Zone, v.zone) {
		c += zoneCost
	}
	if now.Before(o.coldUntil) {
		c += coldCost
	}
	if o.CacheTokens == 0 {
		return c + loadCost*float64(len(o.flights))/float64(o.Slots)
	}
	c += readWeight*o.own + fetchWeight*o.fetching + o.harm(now, a)
	if !v.evictsFreely {
		c += o.evicting(a)
	}
	if over := len(o.flights) + 1 - o.Slots; over > 0 {
		c += slotCost * float64(over)
	}
	if room := memoryShare * float64(o.CacheTokens); float64(o.hold+a.Prompt+a.Output) > room {
		c += fullCost
	}
	return c
}

// evicting is the milliseconds that it takes to read again what the engine would evict for
// the request, of parts that other requests use. Failure: engines whose memory is full are
// given more, as their queue is short for a moment, while others have room; what they
// evict is read again for the next ones, and the queues grow for that.
func (o *option) evicting(a Request) float64 {
	kept := a.Prompt - o.read - o.fetch
	fresh := -kept
	for _, p := range a.Parts {
		fresh += p.Tokens
	}
	lost := o.parts.tokens + max(fresh, 0) - o.room(o.hold+a.Prompt+a.Output)
	return float64(o.parts.shared(lost)) / chunk * o.readTime(chunk, chunk)
}

// harm is what reading does to the pauses of streams, in milliseconds: of those at
// the worker, if this request's prompt makes it read for longer than one of their
// events may take; and of this one, if the worker is given much to read. So long
// prompts and streams with tight pauses part by themselves.
func (o *option) harm(now time.Time, a Request) float64 {
	long := longRead * o.stretch()
	harm := 0.0
	if o.own > long || o.pause(a) == 0 && o.own+o.all > long {
		harm += tightCost * o.tight
	}
	harm += besideWeight * o.own * o.tight
	if a.Gap > 0 && inMilliseconds(a.Gap) < tightShare*o.stretch() {
		harm += riskCost*o.readLately(now)/inMilliseconds(readFades) + behindWeight*math.Max(o.all-o.queue, 0)
	}
	return harm
}

// pause is how long a long prompt waits at its host until the worker has read what
// it was sent before, where reading both in one stretch would break the target for
// pauses of streams at the worker. Between the two their next tokens come.
func (o *option) pause(a Request) time.Duration {
	if o.own < longLeast || o.all == 0 || o.own+o.all <= longRead*o.stretch() || o.tight == 0 {
		return 0
	}
	return min(milliseconds(o.all+stepPause), time.Duration(pauseShare*float64(a.Target)))
}
