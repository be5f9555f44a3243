// Package breaker judges workers against their peers: failing and stalled ones
// are taken out of use and probed back in, slow ones are told apart so that they
// come last. It is pure: time comes in as an argument.
package breaker

import (
	"slices"
	"time"
)

const (
	slowFactor  = 2.0 // times the median of the peers' times to first token
	deadFactor  = 8.0 // likewise: of no use any more
	firstWeight = 0.2
	fewSamples  = 5
	failsToOpen = 3 // in a row
	openTime    = 3 * time.Second
	longestOpen = 60 * time.Second
	mostOut     = 3 // one worker of so many may be out at once, and at least one of two
)

// Breaker judges the workers of one cell against each other. The zero value
// works. It is not safe for concurrent use.
type Breaker struct{ workers map[string]*worker }

// worker is what is known of one worker.
type worker struct {
	first   float64 // seconds to the first token, a moving mean
	samples int
	fails   int // in a row
	until   time.Time
	open    time.Duration // how long it was last out; 0 where it is in use
	probing bool
}

func (b *Breaker) worker(name string) *worker {
	if b.workers == nil {
		b.workers = map[string]*worker{}
	}
	w := b.workers[name]
	if w == nil {
		w = &worker{}
		b.workers[name] = w
	}
	return w
}

// Retain forgets all workers but these.
func (b *Breaker) Retain(names []string) {
	for name := range b.workers {
		if !slices.Contains(names, name) {
			delete(b.workers, name)
		}
	}
	for _, name := range names {
		b.worker(name)
	}
}

// Allowed says whether a worker may get a request. One that is out gets a
// single probe when its time is over.
func (b *Breaker) Allowed(now time.Time, name string) bool {
	w := b.workers[name]
	return w == nil || w.open == 0 || (!w.probing && !now.Before(w.until))
}

// RecordGrant notes that a worker got a request.
func (b *Breaker) RecordGrant(name string) {
	if w := b.workers[name]; w != nil && w.open > 0 {
		w.probing = true
	}
}

// RecordEnd takes how one request ended: the time to its first token, 0 where none
// came, and whether the worker failed it.
func (b *Breaker) RecordEnd(now time.Time, name string, first time.Duration, failed bool) {
	w := b.worker(name)
	probed := w.probing
	w.probing = false
	switch {
	case failed:
		w.fails++
	case first > 0:
		w.fails = 0
		w.samples++
		w.first += max(firstWeight, 1/float64(w.samples)) * (first.Seconds() - w.first)
	default:
		return // it ended before it showed anything
	}
	bad := w.fails >= failsToOpen || b.ratio(w, w.first) > deadFactor
	if w.open > 0 {
		if !probed {
			return // began before it was taken out
		}
		bad = failed || b.ratio(w, first.Seconds()) > deadFactor
	}
	if !bad {
		w.close(probed, first)
		return
	}
	if w.open > 0 || b.mayOpen() {
		w.trip(now)
	}
}

func (w *worker) trip(now time.Time) {
	w.open = min(max(2*w.open, openTime), longestOpen)
	w.until = now.Add(w.open)
}

// close puts a probed worker back in use with what its probe showed.
func (w *worker) close(probed bool, first time.Duration) {
	w.open = 0
	if probed {
		w.first, w.samples, w.fails = first.Seconds(), 1, 0
	}
}

// Weights is what each of these workers is worth beside its peers: 0 while it is
// out, its part of their speed where it is slow, else 1.
func (b *Breaker) Weights(names []string) []float64 {
	firsts := b.firsts()
	weights := make([]float64, len(names))
	for i, name := range names {
		weights[i] = weight(b.workers[name], firsts)
	}
	return weights
}

// firsts is the times of the workers in use that can be compared, in order.
func (b *Breaker) firsts() []float64 {
	var firsts []float64
	for _, w := range b.workers {
		if w.comparable() {
			firsts = append(firsts, w.first)
		}
	}
	slices.Sort(firsts)
	return firsts
}

func (w *worker) comparable() bool { return w.open == 0 && w.samples >= fewSamples }

func weight(w *worker, firsts []float64) float64 {
	switch {
	case w == nil:
		return 1
	case w.open > 0:
		return 0
	case !w.comparable() || len(firsts) < 2:
		return 1
	}
	// The median of the others: the worker's own time is left out of the list.
	middle := (len(firsts) - 1) / 2
	if own, _ := slices.BinarySearch(firsts, w.first); own <= middle {
		middle++
	}
	if r := w.first / firsts[middle]; r > slowFactor {
		return 1 / r
	}
	return 1
}

// ratio compares a time with the median of the other workers in use; 1 where
// there is too little to compare.
func (b *Breaker) ratio(self *worker, seconds float64) float64 {
	if self.samples < fewSamples && self.open == 0 {
		return 1
	}
	var peers []float64
	for _, w := range b.workers {
		if w != self && w.comparable() {
			peers = append(peers, w.first)
		}
	}
	if len(peers) == 0 {
		return 1
	}
	slices.Sort(peers)
	return seconds / peers[len(peers)/2]
}

// mayOpen bounds how many workers are out at once: when most of them look bad
// the cause is elsewhere, and taking them out would only make it worse.
func (b *Breaker) mayOpen() bool {
	if len(b.workers) < 2 {
		return false
	}
	return len(b.Ejected()) < max(1, len(b.workers)/mostOut)
}

// Ejected is the workers that are out of use, in name order.
func (b *Breaker) Ejected() []string {
	var out []string
	for name, w := range b.workers {
		if w.open > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
