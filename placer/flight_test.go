package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

var _ = Describe("A flight", func() {
	// Guards against giving away slots while engines go on with the streams of a host that lost
	// its power.
	It("counts at engines after its host is lost, until its predicted end", func() {
		v := placer.New("a")
		v.SetWorkers(start, engines("e-1"))
		v.Receive(start, "other", placer.Flight{ID: 1, Worker: "e-1", Prefill: 800, Hold: 1100, Output: 300, Left: 15 * time.Second})
		v.Begun(start.Add(50*time.Millisecond), 1)
		v.HostLost(start.Add(time.Second), "other")
		Expect(v.WorkerStates(start)[0].Flights).To(Equal(1))
		v.Sweep(start.Add(1200 * time.Millisecond))
		Expect(v.WorkerStates(start)[0].Flights).To(Equal(1))
		v.Sweep(start.Add(4 * time.Second))
		Expect(v.WorkerStates(start)[0].Flights).To(BeZero())
	})

	// Guards against treating engines as slow because the first events of a lost host's
	// requests are not reported.
	It("does not make its engine look slower after its host is lost", func() {
		v := placer.New("a")
		v.SetWorkers(start, engines("e-1"))
		for id := range uint64(3) {
			v.Receive(start, "other", placer.Flight{ID: id, Worker: "e-1", Prefill: 800, Hold: 1100, Output: 1000, Left: 15 * time.Second})
		}
		v.HostLost(start.Add(time.Second), "other")
		chat := placer.Request{Service: "lm", Prompt: 300, Output: 30, Left: 9 * time.Second, FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond}
		first, _ := v.Place(start.Add(1400*time.Millisecond), 98, chat)
		v.Ended(start.Add(1450*time.Millisecond), first.Flight.ID, placer.Answered)
		c, refusal := v.Place(start.Add(1500*time.Millisecond), 99, plan(7))
		Expect(refusal).To(BeNil())
		Expect(c.Wait).To(BeNumerically("<", 400*time.Millisecond))
	})
})
