package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// limitSpan, limitTimes and limitMore are the window in which a worker's requests count, how
	// many times its limit may come in it, and how many more.
	limitSpan  = 4 * time.Second
	limitTimes = 1.5
	limitMore  = 5
	// limitLasts is how long it names one at least: longer than other trouble, so that a
	// window is over.
	limitLasts = 8 * time.Second
)

// limited is that a worker named how many requests a second it takes.
type limited struct {
	worker   *worker
	rate     float64
	from, to time.Time
}

// limit has a worker name one.
func (w *world) limit(r *rand.Rand) func() {
	l := limited{worker: w.anyWorker(r), rate: 0.5 + 2*r.Float64(), from: time.Now()}
	l.worker.SetLimit(l.rate)
	time.Sleep(limitLasts)
	return func() {
		l.to = time.Now()
		l.worker.SetLimit(0)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.limits = append(w.limits, l)
	}
}

// overLimits is the workers that got more than they said that they take, from hosts that
// had been left alone.
func (w *world) overLimits() []string {
	bound := map[string]bool{}
	for _, t := range w.tries {
		bound[t.id] = t.bound
	}
	var over []string
	for _, l := range w.limits {
		most := l.worker.MaxArrivals(l.from.Add(touch), l.to, limitSpan, func(id string) bool { return bound[id] })
		if allowed := limitTimes*l.rate*limitSpan.Seconds() + limitMore; float64(most) > allowed {
			over = append(over, fmt.Sprintf("%s, which takes %.2f a second, got %d in %s", l.worker.ID, l.rate, most, limitSpan))
		}
	}
	return over
}
