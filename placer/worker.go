package placer

import (
	"math"
	"time"
)

// worker is a Worker and what this host knows of it.
type worker struct {
	Worker
	coldUntil time.Time
	flights   []*flight // each knows its index
	reading   int       // flights whose first event was not seen
	hold      int       // tokens that flights take up
	line      line
	fit       *fit    // of its service
	slowness  float64 // how long it takes, as a multiple of what the fit says
	parts     memory
	read      float64 // milliseconds of reading sent lately, fading
	readAt    time.Time
	trouble   float64 // milliseconds that it is avoided by
	troubled  time.Time
	limit     limit // that it names
}

func newWorker() *worker {
	return &worker{slowness: 1}
}

// take counts a flight.
func (w *worker) take(now time.Time, f *flight) {
	f.alone, f.rounds = w.reading == 0, w.rounds()
	if !f.alone {
		w.crowd()
	}
	w.limit.take(now)
	f.index = len(w.flights)
	w.flights = append(w.flights, f)
	w.reading++
	w.hold += f.Hold
	if w.CacheTokens == 0 {
		return
	}
	f.unread = w.readTime(f.Prefill, f.Hold)
	w.read, w.readAt = w.readLately(now)+f.unread, now
	w.line.add(now, f)
	w.parts.add(f, w.room(w.hold))
}

// room is the tokens that the engine has for parts that no request uses.
func (w *worker) room(hold int) int { return max(w.CacheTokens-hold, w.CacheTokens/4) }

// crowd notes that what the worker reads is not read alone: its time tells nothing.
func (w *worker) crowd() {
	for _, f := range w.flights {
		if !f.begun {
			f.alone = false
		}
	}
}

// began takes a flight's first event, which tells how fast engines read, and this one.
func (w *worker) began(now time.Time, f *flight, took time.Duration) {
	w.reading--
	if w.CacheTokens == 0 {
		return
	}
	if f.alone && f.Fetch == 0 && took > 0 {
		w.learn(f, inMilliseconds(took))
	}
	w.line.remove(now, f)
	if w.reading == 0 {
		w.line.clear(now)
	}
}

// learn takes how long the worker took to the first event of what it read alone.
func (w *worker) learn(f *flight, took float64) {
	w.fit.learn(f.Prefill, f.Hold, math.Max(took-w.decoding(f.Prefill), 1))
	expected := w.fit.predict(termsOf(f.Prefill, f.Hold)) + w.decoding(f.Prefill)
	seen := math.Min(math.Max(took/expected, slownessLeast), slownessMost)
	w.slowness += paceWeight * (seen - w.slowness)
}

// has says whether a flight is counted here. Failure: one that was sent before the worker
// restarted under its name, or before the view knew it, begins and ends later; counted off,
// it leaves less than nothing, and the worker never seems idle again.
func (w *worker) has(f *flight) bool { return f.index < len(w.flights) && w.flights[f.index] == f }

// drop takes a flight off.
func (w *worker) drop(now time.Time, f *flight) {
	last := len(w.flights) - 1
	w.flights[f.index] = w.flights[last]
	w.flights[f.index].index = f.index
	w.flights[last] = nil
	w.flights = w.flights[:last]
	w.hold -= f.Hold
	if !f.begun {
		w.reading--
		w.parts.forget(f)
	}
	w.line.remove(now, f)
	if w.reading == 0 {
		w.line.clear(now)
	}
}

// readTime is the milliseconds that reading so many of a request's tokens takes, with
// the steps of decoding in between.
func (w *worker) readTime(read, tokens int) float64 {
	return w.slowness * (w.fit.reading(read, tokens) + w.decoding(read))
}

// decoding is the milliseconds that running requests take of the steps in which so many
// tokens are read.
func (w *worker) decoding(read int) float64 {
	return float64(read) / chunk * contextTime * float64(w.hold) / 1000
}

// rest is the milliseconds besides reading until a first event.
func (w *worker) rest() float64 { return w.slowness * w.fit.rest() }

// readLately is the milliseconds of reading that were sent to the worker lately.
func (w *worker) readLately(now time.Time) float64 {
	return w.read * math.Exp(-now.Sub(w.readAt).Seconds()/readFades.Seconds())
}

// stretch is the longest pause that reading can put between two events of a
// stream, in milliseconds: each of an event's tokens waits for a chunk.
func (w *worker) stretch() float64 {
	return float64(max(w.EventTokens, 1)) * w.readTime(chunk, chunk)
}

// judge takes how a flight ended. Trouble fades by itself, so that a worker that
// has recovered is tried again.
func (w *worker) judge(now time.Time, o Outcome) {
	add := 0.0
	switch o {
	case Broken, Disconnected:
		add = brokenCost
	case Refused:
		add = refusedCost
	case Errored:
		add = erroredCost
	case WrongWorker:
		add = misledCost
	case Answered:
		w.trouble, w.troubled = w.avoided(now)/2, now
		return
	case Canceled:
		return
	}
	w.trouble, w.troubled = math.Min(w.avoided(now)+add, troubleMost), now
}

// avoided is the milliseconds that the worker is avoided by now.
func (w *worker) avoided(now time.Time) float64 {
	if w.trouble == 0 {
		return 0
	}
	left := w.trouble * math.Exp(-now.Sub(w.troubled).Seconds()/troubleFades.Seconds())
	if left < 1 {
		return 0
	}
	return left
}
