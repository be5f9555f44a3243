// Package breaker compares workers with their peers. Failing and stalled workers are ejected
// and readmitted after a successful probe; slow ones get a lower weight, so that they are
// used last. The package reads no clock: the caller passes in the time.
package breaker

import (
	"slices"
	"time"
)

const (
	slowFactor        = 2.0 // a worker is slow above this multiple of the median of its peers' times to first token
	stalledFactor     = 8.0 // a worker is stalled above this multiple
	sampleWeight      = 0.2 // weight of a new sample in the moving mean
	minSamples        = 5   // for a worker's mean to be compared
	failuresToEject   = 3   // in a row
	minEjectTime      = 3 * time.Second
	maxEjectTime      = 60 * time.Second
	workersPerEjected = 3 // at most one in this many workers is ejected at a time, but always one if there are two
)

// Breaker compares the workers of one cell with each other. The zero value is ready to use.
// It is not safe for concurrent use.
type Breaker struct{ workers map[string]*worker }

// worker is the record of one worker.
type worker struct {
	meanFirst    float64 // moving mean of the seconds to the first token
	samples      int
	failures     int // in a row
	ejectedUntil time.Time
	ejectTime    time.Duration // duration of its current ejection; 0 while it is in use
	probing      bool          // an ejected worker got a request whose result is not known yet
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

// Retain adds the named workers and removes all others.
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

// Allowed reports whether a worker may get a request. An ejected worker gets a single probe
// when its ejection time has passed.
func (b *Breaker) Allowed(now time.Time, name string) bool {
	w := b.workers[name]
	return w == nil || w.ejectTime == 0 || (!w.probing && !now.Before(w.ejectedUntil))
}

// RecordGrant records that a worker got a request.
func (b *Breaker) RecordGrant(name string) {
	if w := b.workers[name]; w != nil && w.ejectTime > 0 {
		w.probing = true
	}
}

// RecordEnd records the result of one request: the time to its first token, 0 if there was
// none, and whether the worker failed.
func (b *Breaker) RecordEnd(now time.Time, name string, first time.Duration, failed bool) {
	w := b.worker(name)
	probed := w.probing
	w.probing = false
	switch {
	case failed:
		w.failures++
	case first > 0:
		w.failures = 0
		w.samples++
		w.meanFirst += max(sampleWeight, 1/float64(w.samples)) * (first.Seconds() - w.meanFirst)
	default:
		return // ended without a result
	}
	bad := w.failures >= failuresToEject || b.ratio(w, w.meanFirst) > stalledFactor
	if w.ejectTime > 0 {
		if !probed {
			return // began before the worker was ejected
		}
		bad = failed || b.ratio(w, first.Seconds()) > stalledFactor
	}
	if !bad {
		w.readmit(probed, first)
		return
	}
	if w.ejectTime > 0 || b.mayEject() {
		w.eject(now)
	}
}

func (w *worker) eject(now time.Time) {
	w.ejectTime = min(max(2*w.ejectTime, minEjectTime), maxEjectTime)
	w.ejectedUntil = now.Add(w.ejectTime)
}

// readmit puts a worker back in use. After a probe its statistics start again from the
// probe's result.
func (w *worker) readmit(probed bool, first time.Duration) {
	w.ejectTime = 0
	if probed {
		w.meanFirst, w.samples, w.failures = first.Seconds(), 1, 0
	}
}

// Weights returns the weight of each named worker: 0 while it is ejected, the ratio of its
// speed to the median of its peers if it is slow, else 1.
func (b *Breaker) Weights(names []string) []float64 {
	means := b.sortedMeans()
	weights := make([]float64, len(names))
	for i, name := range names {
		weights[i] = weight(b.workers[name], means)
	}
	return weights
}

// sortedMeans returns the means of the workers in use that can be compared, in ascending
// order.
func (b *Breaker) sortedMeans() []float64 {
	var means []float64
	for _, w := range b.workers {
		if w.comparable() {
			means = append(means, w.meanFirst)
		}
	}
	slices.Sort(means)
	return means
}

func (w *worker) comparable() bool { return w.ejectTime == 0 && w.samples >= minSamples }

func weight(w *worker, means []float64) float64 {
	switch {
	case w == nil:
		return 1
	case w.ejectTime > 0:
		return 0
	case !w.comparable() || len(means) < 2:
		return 1
	}
	// The median of the others, without the worker's own mean.
	middle := (len(means) - 1) / 2
	if own, _ := slices.BinarySearch(means, w.meanFirst); own <= middle {
		middle++
	}
	if r := w.meanFirst / means[middle]; r > slowFactor {
		return 1 / r
	}
	return 1
}

// ratio returns the ratio of a time to the median of the other workers in use; 1 if there
// are too few samples to compare.
func (b *Breaker) ratio(self *worker, seconds float64) float64 {
	if self.samples < minSamples && self.ejectTime == 0 {
		return 1
	}
	var peers []float64
	for _, w := range b.workers {
		if w != self && w.comparable() {
			peers = append(peers, w.meanFirst)
		}
	}
	if len(peers) == 0 {
		return 1
	}
	slices.Sort(peers)
	return seconds / peers[len(peers)/2]
}

// mayEject reports whether another worker may be ejected. If most workers look bad, the
// cause is elsewhere, and ejecting them would only make it worse.
func (b *Breaker) mayEject() bool {
	if len(b.workers) < 2 {
		return false
	}
	return len(b.Ejected()) < max(1, len(b.workers)/workersPerEjected)
}

// Ejected returns the names of the ejected workers, in order.
func (b *Breaker) Ejected() []string {
	var out []string
	for name, w := range b.workers {
		if w.ejectTime > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
