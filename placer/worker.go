package placer

import (
	"math"
	"time"
)

// worker is a Worker with the view's own data.
type worker struct {
	Worker
	coldUntil       time.Time
	flights         []*flight // each knows its index
	awaitingFirst   int       // flights without a first event
	suspects        int       // flights with a part that may crash workers
	hold            int       // tokens that flights take up
	queue           prefillQueue
	fit             *fit    // of its service
	slowness        float64 // its time to a first event, as a multiple of the fit's
	cache           prefixCache
	recentPrefill   float64 // decaying milliseconds of prefill sent to it, as of recentPrefillAt
	recentPrefillAt time.Time
	penalty         float64 // milliseconds, as of penaltyAt
	penaltyAt       time.Time
	limit           limit // that the worker states
	silence         silence
	brittle         brittle
	brokenAt        time.Time // when a connection to it last broke; zero for never
	seen            bool      // it has answered a host since it was listed
}

func newWorker() *worker {
	return &worker{slowness: 1}
}

// add counts a flight.
func (w *worker) add(now time.Time, f *flight) {
	f.alone, f.rounds = w.awaitingFirst == 0, w.rounds()
	if !f.alone {
		w.markNotAlone()
	}
	w.limit.take(now)
	f.index = len(w.flights)
	w.flights = append(w.flights, f)
	w.awaitingFirst++
	w.hold += f.Hold
	if f.suspected {
		w.suspects++
	}
	if w.CacheTokens == 0 {
		return
	}
	f.prefillLeft = w.prefillTime(f.Prefill, f.Hold)
	w.recentPrefill, w.recentPrefillAt = w.prefillLoad(now)+f.prefillLeft, now
	w.queue.add(now, f)
	w.cache.add(f, w.cacheRoom(w.hold))
}

// cacheRoom returns the tokens that the engine has for parts that no request uses.
func (w *worker) cacheRoom(hold int) int { return max(w.CacheTokens-hold, w.CacheTokens/4) }

// markNotAlone marks the flights without a first event as not prefilled alone: nothing can be
// learned from their times.
func (w *worker) markNotAlone() {
	for _, f := range w.flights {
		if !f.begun {
			f.alone = false
		}
	}
}

// firstEvent records a flight's first event, from which the speed of engines in general and of
// this one is learned.
func (w *worker) firstEvent(now time.Time, f *flight, took time.Duration) {
	w.silence.end(now)
	w.awaitingFirst--
	if w.CacheTokens == 0 {
		return
	}
	if f.alone && f.Fetch == 0 && took > 0 && !w.silence.covers(f.sentAt) {
		w.learn(f, inMilliseconds(took))
	}
	w.queue.remove(now, f)
	if w.awaitingFirst == 0 {
		w.queue.clear(now)
	}
}

// learn updates the fit and the worker's slowness by the milliseconds to the first event of a
// prompt that was prefilled alone.
func (w *worker) learn(f *flight, took float64) {
	w.fit.learn(f.Prefill, f.Hold, math.Max(took-w.decodeTime(f.Prefill), 1))
	predicted := w.fit.predict(termsOf(f.Prefill, f.Hold)) + w.decodeTime(f.Prefill)
	ratio := math.Min(math.Max(took/predicted, minSlowness), maxSlowness)
	w.slowness += sampleWeight * (ratio - w.slowness)
}

// has reports whether a flight is counted here. A flight that was sent before the worker
// restarted under its name, or before the view knew the worker, begins and ends later. If that
// were subtracted, counters would fall below zero, and the worker would never seem idle again.
func (w *worker) has(f *flight) bool { return f.index < len(w.flights) && w.flights[f.index] == f }

// remove removes a flight.
func (w *worker) remove(now time.Time, f *flight) {
	last := len(w.flights) - 1
	w.flights[f.index] = w.flights[last]
	w.flights[f.index].index = f.index
	w.flights[last] = nil
	w.flights = w.flights[:last]
	w.hold -= f.Hold
	if f.suspected {
		w.suspects--
	}
	if !f.begun {
		w.awaitingFirst--
		w.cache.dropUnconfirmed(f)
	}
	w.queue.remove(now, f)
	if w.awaitingFirst == 0 {
		w.queue.clear(now)
	}
}

// prefillTime returns the milliseconds to prefill so many tokens of a request, including the
// decoding steps in between.
func (w *worker) prefillTime(prefill, tokens int) float64 {
	return w.slowness * (w.fit.prefillTime(prefill, tokens) + w.decodeTime(prefill))
}

// decodeTime returns the milliseconds that running requests add to the steps in which so many
// tokens are prefilled.
func (w *worker) decodeTime(prefill int) float64 {
	return float64(prefill) / chunkTokens * contextMillis * float64(w.hold) / 1000
}

// overhead returns the milliseconds to a first event besides the prefill.
func (w *worker) overhead() float64 { return w.slowness * w.fit.overhead() }

// prefillLoad returns the recent milliseconds of prefill sent to the worker.
func (w *worker) prefillLoad(now time.Time) float64 {
	return w.recentPrefill * math.Exp(-now.Sub(w.recentPrefillAt).Seconds()/prefillLoadDecay.Seconds())
}

// maxPrefillPause returns the longest pause that prefills can cause between two events of a
// stream, in milliseconds: each token of an event waits for a chunk.
func (w *worker) maxPrefillPause() float64 {
	return float64(max(w.EventTokens, 1)) * w.prefillTime(chunkTokens, chunkTokens)
}

// recordOutcome updates the worker's penalty by how a flight ended. Penalties decay, so that a
// worker that has recovered is tried again.
func (w *worker) recordOutcome(now time.Time, o Outcome) {
	add := 0.0
	switch o {
	case Silent:
		w.silence.note(now)
		return
	case Broken, Disconnected:
		w.brokenAt = now
		add = brokenCost
	case Refused:
		w.brittle.turned(now, len(w.flights), w.Slots)
		add = refusedCost
	case Errored:
		add = erroredCost
	case WrongWorker:
		add = wrongWorkerCost
	case Answered, Unproven:
		w.silence.end(now)
		w.penalty, w.penaltyAt = w.decayedPenalty(now)/2, now
		return
	case Canceled:
		return
	}
	w.penalty, w.penaltyAt = math.Min(w.decayedPenalty(now)+add, maxPenalty), now
}

// currentPenalty returns the worker's penalty in milliseconds, as of now.
func (w *worker) currentPenalty(now time.Time) float64 {
	if w.silence.avoided(now) {
		return max(brokenCost, w.decayedPenalty(now))
	}
	return w.decayedPenalty(now)
}

// decayedPenalty returns the worker's penalty without that of its silence.
func (w *worker) decayedPenalty(now time.Time) float64 {
	if w.penalty == 0 {
		return 0
	}
	remaining := w.penalty * math.Exp(-now.Sub(w.penaltyAt).Seconds()/penaltyDecay.Seconds())
	if remaining < 1 {
		return 0
	}
	return remaining
}
