package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// Guards against refusals that operators can't explain.
var _ = Describe("The basis of a refusal", func() {
	It("holds the slots, the queue, the offered load and the age of other hosts' reports", func() {
		v := placer.New("a")
		workers := engines("e-1")
		workers[0].Slots = 4
		v.SetWorkers(start, workers)
		for id := range uint64(4) {
			v.Receive(start, "other", placer.Flight{ID: 100 + id, Worker: "e-1", Prefill: 800, Hold: 900, Output: 100, Left: 9 * time.Second})
		}
		later := start.Add(20 * time.Millisecond)
		long := plan(7)
		long.Rank, long.Tier = 1, 1
		c, refusal := v.Place(later, 1, long)
		Expect(refusal.Reason).To(Equal("slots"))
		b := c.Basis
		Expect(b.Worker).To(Equal("e-1"))
		Expect([]int{b.Slots, b.Taken, b.Free}).To(Equal([]int{4, 4, 0}))
		Expect(b.Kept).To(Equal(1))
		Expect(b.Queue).To(BeNumerically(">", 50*time.Millisecond))
		Expect(b.Bound).To(Equal(300 * time.Millisecond))
		Expect(b.Wait).To(BeNumerically(">", b.Queue))
		Expect(b.Offered).To(BeNumerically("~", 8, 1))
		Expect(b.Held).To(BeNumerically(">", 400*time.Millisecond))
		Expect(b.Age).To(Equal(20 * time.Millisecond))
	})

	It("is reported to other hosts as offered load", func() {
		v := placer.New("a")
		v.SetWorkers(start, engines("e-1"))
		refused := 0
		for id := range uint64(40) {
			if _, refusal := v.Place(start, id, plan(7)); refusal != nil {
				refused++
			}
		}
		reported := v.DrainRefused()
		Expect(reported).To(HaveLen(1))
		Expect(reported[0].Count).To(And(Equal(refused), BeNumerically(">", 0)))
		Expect(reported[0].Output).To(Equal(60 * refused))
		Expect(v.DrainRefused()).To(BeEmpty())
	})
})
