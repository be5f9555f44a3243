package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// Guards against refusing urgent prompts because long prompts of a less urgent class fill an
// engine's queue. An urgent prompt only waits for the one under way, as engines prefill the
// more urgent first; it was refused when it was counted as the last in the queue.
var _ = Describe("An engine's queue", func() {
	var v *placer.View
	urgent, less := plan(7), plan(8)
	less.Rank, less.Target = 1, 1500*time.Millisecond
	BeforeEach(func() {
		v = placer.New("a")
		v.SetWorkers(start, engines("e-1"))
	})
	// fill places less urgent prompts until one is refused.
	fill := func() *placer.Refusal {
		for id := uint64(1); ; id++ {
			if _, refusal := v.Place(start, id, less); refusal != nil {
				return refusal
			}
		}
	}

	It("counts the prompts that are at least as urgent, and the one under way", func() {
		refusal := fill()
		Expect(refusal.Reason).To(Equal("queue"))
		c, refused := v.Place(start, 100, urgent)
		Expect(refused).To(BeNil())
		Expect(c.Wait).To(BeNumerically("<", 600*time.Millisecond))
		short := urgent
		short.Prompt, short.Parts = 800, nil
		same, refused := v.Place(start, 101, short)
		Expect(refused).To(BeNil())
		Expect(same.Wait).To(BeNumerically(">", c.Wait), "it queues behind its equals")
	})

	It("has room when a refused request retries as asked", func() {
		refusal := fill()
		retryAt := start.Add(refusal.RetryAfter)
		_, retryRefusal := v.Place(retryAt, 100, less)
		Expect(retryRefusal).To(BeNil())
	})

	It("advances when a first event shows that a prompt was prefilled", func() {
		c, _ := v.Place(start, 1, urgent)
		next, _ := v.Place(start, 2, urgent)
		Expect(next.Wait).To(BeNumerically(">", c.Wait))
		now := start.Add(20 * time.Millisecond)
		v.Begun(now, 1)
		third, _ := v.Place(now, 3, urgent)
		Expect(third.Wait).To(BeNumerically("<=", next.Wait))
		v.Ended(now, 2, placer.Canceled)
		v.Ended(now, 3, placer.Canceled)
		alone, _ := v.Place(now, 4, urgent)
		Expect(alone.Wait).To(BeNumerically("<", third.Wait))
	})
})
