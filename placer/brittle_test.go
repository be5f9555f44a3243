package placer_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// Guards against brittle workers that fall over, as hosts together send them more than they
// have room for.
var _ = Describe("A brittle worker", func() {
	now := time.Unix(1000, 0)
	const slots = 8
	var v *placer.View
	var id uint64
	newView := func(hosts, self int) {
		v, id = placer.New("a"), 1<<63
		v.SetWorkers(now, []placer.Worker{{Name: "w", Service: "s", Slots: slots}, {Name: "other", Service: "o", Slots: slots}})
		v.SetHosts(hosts, self)
	}
	place := func(at time.Time) (uint64, *placer.Refusal) {
		id++
		_, refusal := v.Place(at, id, placer.Request{Service: "s", Left: time.Minute, Target: time.Minute})
		return id, refusal
	}
	// fill places requests, each long after the one before, and returns how many were placed.
	fill := func(at time.Time) int {
		for n := 0; ; n++ {
			if _, refusal := place(at.Add(time.Duration(n) * 10 * time.Millisecond)); refusal != nil {
				ExpectWithOffset(1, refusal.Reason).To(Equal("brittle"))
				ExpectWithOffset(1, refusal.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
				return n
			}
		}
	}
	BeforeEach(func() { newView(1, 0) })

	It("gets fewer requests than it has slots, of all hosts together", func() {
		Expect(v.UpdateBrittle(now, now, "w", 3)).To(BeTrue())
		Expect(v.UpdateBrittle(now, now, "w", 3)).To(BeFalse(), "no news")
		v.Receive(now, "b", placer.Flight{ID: 1, Worker: "w", Left: time.Minute})
		Expect(fill(now)).To(Equal(slots - 2))
	})

	It("gets none after it turned half of what it may away, until a second has passed, and then fewer", func() {
		v.UpdateBrittle(now, now, "w", 3)
		for range 2 {
			x, refusal := place(now)
			Expect(refusal).To(BeNil())
			v.Ended(now, x, placer.Refused)
		}
		_, refusal := place(now.Add(999 * time.Millisecond))
		Expect(refusal).NotTo(BeNil())
		Expect(fill(now.Add(time.Second))).To(BeNumerically("<", slots/2))
	})

	It("gets as many as before when it no longer says so, but not by an answer to an older request", func() {
		v.UpdateBrittle(now, now, "w", 3)
		Expect(v.UpdateBrittle(now, now.Add(-time.Millisecond), "w", 0)).To(BeFalse())
		Expect(v.IsBrittle("w")).To(BeTrue())
		Expect(v.UpdateBrittle(now, now.Add(time.Millisecond), "w", 0)).To(BeTrue())
		for range 2 * slots {
			_, refusal := place(now)
			Expect(refusal).To(BeNil())
		}
	})

	It("makes the others of its service count as brittle, and not those of other services", func() {
		v.SetWorkers(now, []placer.Worker{{Name: "w", Service: "s", Slots: slots}, {Name: "w2", Service: "s", Slots: slots}, {Name: "other", Service: "o", Slots: slots}})
		v.ReceiveBrittle(now, placer.BrittleWorker{Worker: "w", Allowed: 3})
		Expect(v.Brittle()).To(ConsistOf(placer.BrittleWorker{Worker: "w", Allowed: 3}, placer.BrittleWorker{Worker: "w2", Allowed: 3}))
	})

	It("is as careful with a worker that joins a brittle service and has said nothing yet", func() {
		v.UpdateBrittle(now, now, "w", 3)
		v.SetWorkers(now, []placer.Worker{{Name: "w", Service: "s", Slots: slots}, {Name: "new", Service: "s", Slots: slots}, {Name: "other", Service: "o", Slots: slots}})
		Expect(v.Brittle()).To(ConsistOf(placer.BrittleWorker{Worker: "w", Allowed: 3}, placer.BrittleWorker{Worker: "new", Allowed: 3}))
	})

	It("gets no more than its room of all hosts at once, when its answers arrive at once", func() {
		sent := 0
		for self := range 4 {
			newView(4, self)
			v.UpdateBrittle(now, now, "w", 3)
			for range slots {
				if _, refusal := place(now); refusal == nil {
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", slots))
		Expect(sent).To(BeNumerically(">=", slots/4))
	})

	It("is filled by turns after it turned a request away, if hosts are more than it has room", func() {
		sent := 0
		const hosts = 16
		for self := range hosts {
			newView(hosts, self)
			v.UpdateBrittle(now, now, "w", 10)
			x, refusal := place(now)
			Expect(refusal).To(BeNil())
			v.Ended(now, x, placer.Refused)
			id = uint64(float64(self)/hosts*math.MaxInt64) << 1
			if _, refusal := place(now.Add(10 * time.Millisecond)); refusal == nil {
				sent++
			}
		}
		Expect(sent).To(BeNumerically("<=", slots))
	})
})
