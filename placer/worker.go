package placer

import (
	"math"
	"time"
)

// worker is a Worker and what this host knows of it.
type worker struct {
	Worker
	coldUntil time.Time
	flights   map[uint64]*flight
	reading   int       // flights whose first event was not seen
	hold      int       // tokens that flights take up
	readUntil time.Time // it has read by then what was sent to it, as predicted
	rate      float64   // tokens read in a millisecond
	parts     memory
	read      float64 // milliseconds of reading sent lately, fading
	readAt    time.Time
	trouble   float64 // milliseconds that it is avoided by
	troubled  time.Time
}

func newWorker(now time.Time) *worker {
	return &worker{flights: map[uint64]*flight{}, rate: rateStart, readUntil: now}
}

// take counts a flight.
func (w *worker) take(now time.Time, f *flight) {
	f.alone = w.reading == 0
	w.flights[f.ID] = f
	w.reading++
	w.hold += f.Hold
	if w.Memory == 0 {
		return
	}
	if w.readUntil.Before(now) {
		w.readUntil = now
	}
	w.readUntil = w.readUntil.Add(milliseconds(w.readTime(f.Read)))
	f.expected = w.readUntil.Add(milliseconds(baseTime))
	w.read, w.readAt = w.readLately(now)+w.readTime(f.Read), now
	w.parts.add(f.Parts, max(w.Memory-w.hold, w.Memory/4))
}

// began takes a flight's first event, which tells how fast the worker reads.
func (w *worker) began(now time.Time, f *flight) {
	w.reading--
	if w.Memory == 0 {
		return
	}
	took := inMilliseconds(now.Sub(f.at)) - baseTime
	if f.alone && f.from == "" && f.Read >= sampleLeast && took > 0 {
		sample := math.Min(math.Max(float64(f.Read)/took, rateStart/16), rateStart*4)
		w.rate += paceWeight * (sample - w.rate)
	}
	if w.reading == 0 {
		w.readUntil = now
	}
}

// drop takes a flight off.
func (w *worker) drop(now time.Time, f *flight) {
	if w.flights[f.ID] == nil {
		return
	}
	delete(w.flights, f.ID)
	w.hold -= f.Hold
	if !f.begun {
		w.reading--
	}
	if w.reading == 0 && w.readUntil.After(now) {
		w.readUntil = now
	}
}

// readTime is the milliseconds that reading so many tokens takes, with the steps
// of decoding in between.
func (w *worker) readTime(tokens int) float64 {
	step := stepTime + contextTime*float64(w.hold)/1000
	return float64(tokens) * (1/w.rate + step/chunk)
}

// readLately is the milliseconds of reading that were sent to the worker lately.
func (w *worker) readLately(now time.Time) float64 {
	return w.read * math.Exp(-now.Sub(w.readAt).Seconds()/readFades.Seconds())
}

// stretch is the longest pause that reading can put between two events of a
// stream, in milliseconds: each of an event's tokens waits for a chunk.
func (w *worker) stretch() float64 {
	return float64(max(w.Event, 1)) * w.readTime(chunk)
}

// tight is the number of streams at the worker whose target for pauses a stretch
// of reading breaks.
func (w *worker) tight() int {
	n := 0
	for _, f := range w.flights {
		if f.Gap > 0 && inMilliseconds(f.Gap) < tightShare*w.stretch() {
			n++
		}
	}
	return n
}

// unread is the tokens of a request's prompt that the worker would have to read.
func (w *worker) unread(a Ask) int {
	if w.Memory == 0 {
		return 0
	}
	return max(a.Prompt-w.parts.covered(a.Parts), 1)
}

// overdue is the milliseconds by which the worker is behind what was predicted.
func (w *worker) overdue(now time.Time) float64 {
	worst := 0.0
	for _, f := range w.flights {
		if !f.begun && !f.expected.IsZero() {
			worst = math.Max(worst, inMilliseconds(now.Sub(f.expected)))
		}
	}
	return worst
}

// judge takes how a flight ended. Trouble fades by itself, so that a worker that
// has recovered is tried again.
func (w *worker) judge(now time.Time, o Outcome) {
	add := 0.0
	switch o {
	case Broken:
		add = brokenCost
	case Refused:
		add = refusedCost
	case Errored:
		add = erroredCost
	case Misled:
		add = misledCost
	case Answered:
		w.trouble, w.troubled = w.avoided(now)/2, now
		return
	case Dropped:
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
