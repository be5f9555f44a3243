package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

var _ = Describe("Requests under way", func() {
	chat := placer.Request{Service: "lm", Prompt: 800, Output: 300, Left: 10 * time.Second, FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond}

	// Guards against a host that starts, treats all engines as empty and sends more than their
	// slots hold.
	It("are known to a host that starts, and do not count as offered load", func() {
		workers := engines("e-1", "e-2")
		old, started := placer.New("a"), placer.New("a")
		old.SetWorkers(start, workers)
		started.SetWorkers(start, workers)
		for id := range uint64(12) {
			old.Place(start, id, chat)
			if id < 10 {
				old.Begun(start.Add(50*time.Millisecond), id)
			}
		}
		later := start.Add(time.Second)
		for _, r := range old.RunningFlights(later, false) {
			started.ReceiveRunning(later, "old", r)
		}
		Expect(started.WorkerStates(later)[0].Flights + started.WorkerStates(later)[1].Flights).To(Equal(12))
		long := plan(7)
		long.Tier, long.Rank, long.Target = 1, 1, time.Millisecond
		c, refusal := started.Place(later, 99, long)
		Expect(refusal).NotTo(BeNil())
		Expect(c.Basis.Offered).To(BeZero())
		for id := range uint64(12) {
			started.Ended(later, id, placer.Answered)
		}
		Expect(started.WorkerStates(later)[0].Flights + started.WorkerStates(later)[1].Flights).To(BeZero())
	})
})
