package dispatcher_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/messenger"
)

const (
	starvationTime = 5 * time.Second // as in package dispatcher
	step           = 10 * time.Millisecond
)

// burst simulates an endless burst of checks, with summaries and letters that
// always wait, on workers whose calls take a fixed time.
type burst struct {
	*simulation
	check, lower time.Duration            // how long a call of a check, and of the other classes, takes on a worker
	every        time.Duration            // interval between checks
	tokens       int                      // of an answer; with 0 nothing is learnt, and nothing is refused early
	ends         map[string]time.Time     // by request
	began        map[string]time.Time     // last start, by class
	maxGap       map[string]time.Duration // longest time without a start, by class
}

func (b *burst) run(length time.Duration) {
	next := b.now
	for end := b.now.Add(length); b.now.Before(end); {
		for ; !next.After(b.now); next = next.Add(b.every) {
			b.ask("check")
		}
		for _, name := range classNames[1:] {
			if b.waiting(name) == 0 {
				b.ask(name)
			}
		}
		b.pass(step)
		b.follow()
		b.finish()
	}
}

// waiting returns the number of the class's requests without an answer.
func (b *burst) waiting(class string) int {
	n := 0
	for _, a := range b.open {
		if a.Class == class {
			n++
		}
	}
	return n
}

// finish ends the calls whose time is over.
func (b *burst) finish() {
	for _, id := range sorted(b.granted) {
		if !b.now.Before(b.ends[id]) {
			g := b.granted[id]
			delete(b.granted, id)
			b.handle(messenger.Done{Request: id, Attempt: g.Attempt, Worker: g.Worker, Tokens: b.tokens, First: step})
		}
	}
}

// follow records which calls have started and how long each class waited for a
// start.
func (b *burst) follow() {
	for _, id := range sorted(b.granted) {
		if _, known := b.ends[id]; known {
			continue
		}
		class := b.granted[id].Class
		took := b.lower
		if class == "check" {
			took = b.check
		}
		b.ends[id] = b.now.Add(took)
		b.maxGap[class] = max(b.maxGap[class], b.now.Sub(b.began[class]))
		b.began[class] = b.now
	}
	for _, class := range classNames[1:] {
		b.maxGap[class] = max(b.maxGap[class], b.now.Sub(b.began[class]))
	}
}

var _ = Describe("Progress", func() {
	// An endless burst of checks exceeds the capacity of the workers while
	// lower tiers wait. Strict tiers would never start these; a fixed share
	// would make checks late.
	It("starts a request of each class within the bound, whatever the burst", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			workers, slots := rapid.IntRange(1, 4).Draw(t, "workers"), rapid.IntRange(2, 4).Draw(t, "slots")
			w := &burst{
				simulation: newSimulation(t, workers, slots), ends: map[string]time.Time{}, began: map[string]time.Time{}, maxGap: map[string]time.Duration{},
				check:  time.Duration(rapid.IntRange(2, 20).Draw(t, "check")) * step,
				tokens: rapid.SampledFrom([]int{0, 20}).Draw(t, "tokens"),
				lower:  time.Duration(rapid.IntRange(10, 300).Draw(t, "lower")) * step,
			}
			load := rapid.Float64Range(0.5, 4).Draw(t, "load")
			w.every = time.Duration(float64(w.check) / float64(workers*slots) / load)
			for _, class := range classNames {
				w.began[class] = w.now
			}
			w.run(30 * time.Second)
			lowerClasses := time.Duration(2)
			bound := 2*starvationTime + lowerClasses*(w.lower+time.Second)
			for _, class := range classNames[1:] {
				if w.maxGap[class] > bound {
					t.Fatalf("%s waited %s for its next start, over %s; %d workers of %d slots, load %.2f, checks %s, others %s; %+v", class, w.maxGap[class], bound,
						workers, slots, load, w.check, w.lower, w.d.State().Classes)
				}
			}
		})
	})
})
