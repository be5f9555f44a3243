package dispatcher_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/messenger"
)

const (
	patience = 5 * time.Second // as in package dispatcher
	step     = 10 * time.Millisecond
)

// wave is an endless burst of checks, with summaries and letters that always
// wait, on workers whose calls take a fixed time.
type wave struct {
	*floor
	check, lower time.Duration // on a worker
	every        time.Duration // between checks
	tokens       int           // of an answer; where it has none nothing is learnt, nothing refused early
	ends         map[string]time.Time
	began        map[string]time.Time // last, by class
	gap          map[string]time.Duration
}

func (w *wave) run(length time.Duration) {
	next := w.now
	for end := w.now.Add(length); w.now.Before(end); {
		for ; !next.After(w.now); next = next.Add(w.every) {
			w.ask("check")
		}
		for _, name := range names[1:] {
			if w.waiting(name) == 0 {
				w.ask(name)
			}
		}
		w.pass(step)
		w.follow()
		w.finish()
	}
}

// waiting is the class's requests that have no answer yet.
func (w *wave) waiting(class string) int {
	n := 0
	for _, a := range w.open {
		if a.Class == class {
			n++
		}
	}
	return n
}

// finish ends the calls whose time is over.
func (w *wave) finish() {
	for _, id := range sorted(w.granted) {
		if !w.now.Before(w.ends[id]) {
			g := w.granted[id]
			delete(w.granted, id)
			w.handle(messenger.Done{Request: id, Attempt: g.Attempt, Worker: g.Worker, Tokens: w.tokens, First: step})
		}
	}
}

// follow notes which calls began and how long each class had to wait for one.
func (w *wave) follow() {
	for _, id := range sorted(w.granted) {
		if _, known := w.ends[id]; known {
			continue
		}
		class := w.granted[id].Class
		took := w.lower
		if class == "check" {
			took = w.check
		}
		w.ends[id] = w.now.Add(took)
		w.gap[class] = max(w.gap[class], w.now.Sub(w.began[class]))
		w.began[class] = w.now
	}
	for _, class := range names[1:] {
		w.gap[class] = max(w.gap[class], w.now.Sub(w.began[class]))
	}
}

var _ = Describe("Progress", func() {
	// A rostering wave of validity checks has no end, and is more than the workers
	// can do. Somebody waits for a findings letter. Strict tiers would never
	// begin it; a fixed share would make checks late.
	It("begins a request of each class within the stated bound, whatever the burst", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			workers, slots := rapid.IntRange(1, 4).Draw(t, "workers"), rapid.IntRange(2, 4).Draw(t, "slots")
			w := &wave{
				floor: newFloor(t, workers, slots), ends: map[string]time.Time{}, began: map[string]time.Time{}, gap: map[string]time.Duration{},
				check:  time.Duration(rapid.IntRange(2, 20).Draw(t, "check")) * step,
				tokens: rapid.SampledFrom([]int{0, 20}).Draw(t, "tokens"),
				lower:  time.Duration(rapid.IntRange(10, 300).Draw(t, "lower")) * step,
			}
			load := rapid.Float64Range(0.5, 4).Draw(t, "load")
			w.every = time.Duration(float64(w.check) / float64(workers*slots) / load)
			for _, class := range names {
				w.began[class] = w.now
			}
			w.run(30 * time.Second)
			lowerClasses := time.Duration(2)
			bound := 2*patience + lowerClasses*(w.lower+time.Second)
			for _, class := range names[1:] {
				if w.gap[class] > bound {
					t.Fatalf("%s waited %s for its next begin, over %s; %d workers of %d slots, load %.2f, checks %s, others %s; %+v", class, w.gap[class], bound,
						workers, slots, load, w.check, w.lower, w.d.State().Classes)
				}
			}
		})
	})
})
