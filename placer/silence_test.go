package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/resumer"
)

// Guards against a worker that was silent for a moment and is avoided long after it goes on.
var _ = Describe("A silent worker", func() {
	now := time.Unix(1000, 0)
	var v *placer.View
	var id uint64
	avoided := func(at time.Time) time.Duration { return v.WorkerStates(at)[0].Avoided }
	// send sends a request to the only worker and returns its ID.
	send := func(at time.Time) uint64 {
		id++
		_, refusal := v.Place(at, id, placer.Request{Service: "s", Left: time.Minute})
		ExpectWithOffset(1, refusal).To(BeNil())
		return id
	}
	BeforeEach(func() {
		v = placer.New("a")
		v.SetWorkers(now, []placer.Worker{{Name: "w", Service: "s", Slots: 8}})
	})

	It("is avoided for a time that doubles while it stays silent", func() {
		at := now
		for _, length := range []time.Duration{300, 600, 1200, 2400, 4000, 4000} {
			length *= time.Millisecond
			first, second := send(at), send(at)
			v.Ended(at, first, placer.Silent)
			v.Ended(at.Add(10*time.Millisecond), second, placer.Silent) // of the same silence
			Expect(avoided(at.Add(length-time.Millisecond))).To(BeNumerically(">", 0), "%v", length)
			at = at.Add(length)
			Expect(avoided(at)).To(BeZero(), "%v", length)
		}
	})

	It("is no longer avoided as soon as it answers any request", func() {
		waiting, given := send(now), send(now)
		v.Ended(now, given, placer.Silent)
		Expect(avoided(now)).To(BeNumerically(">", 0))
		v.Begun(now.Add(100*time.Millisecond), waiting)
		Expect(avoided(now.Add(100 * time.Millisecond))).To(BeZero())
	})

	It("is still avoided for failures of other kinds", func() {
		broken, given := send(now), send(now)
		v.Ended(now, broken, placer.Broken)
		v.Ended(now, given, placer.Silent)
		v.Begun(now.Add(10*time.Millisecond), send(now))
		Expect(avoided(now.Add(10 * time.Millisecond))).To(BeNumerically(">", 0))
	})
})

// Guards against a worker that is given up though its request could go to no other one.
var _ = DescribeTable("HasOther", func(req placer.Request, accepting bool, want bool) {
	v := placer.New("a")
	v.SetWorkers(time.Unix(1000, 0), []placer.Worker{{Name: "w", Service: "s", Slots: 8}, {Name: "x", Service: "s", Slots: 8}, {Name: "y", Service: "t", Slots: 8}})
	Expect(v.HasOther(time.Unix(1000, 0), "w", req, func(placer.Worker) bool { return accepting })).To(Equal(want))
},
	Entry("another worker of the service", placer.Request{Service: "s"}, true, true),
	Entry("one that was tried", placer.Request{Service: "s", Exclude: []string{"x"}}, true, false),
	Entry("one that wants no requests", placer.Request{Service: "s"}, false, false),
	Entry("one of another service", placer.Request{Service: "t"}, true, true),
	Entry("one that may not continue the stream", placer.Request{Service: "s", Bound: &resumer.Worker{Service: "s", Name: "w", Version: "v1"}}, true, false),
)

// Guards against a silent worker that is given up for a brittle one without room.
var _ = It("HasOther counts a brittle worker only while it has room", func() {
	now := time.Unix(1000, 0)
	v := placer.New("a")
	v.SetHosts(1, 0)
	v.SetWorkers(now, []placer.Worker{{Name: "w", Service: "s", Slots: 2}, {Name: "x", Service: "s", Slots: 2}})
	v.UpdateBrittle(now, now, "x", 3)
	hasOther := func() bool {
		return v.HasOther(now, "w", placer.Request{Service: "s"}, func(placer.Worker) bool { return true })
	}
	Expect(hasOther()).To(BeTrue())
	choice, refusal := v.Place(now, 1, placer.Request{Service: "s", Exclude: []string{"w"}, Left: time.Minute})
	Expect(refusal).To(BeNil())
	Expect(hasOther()).To(BeFalse())
	v.Ended(now, choice.Flight.ID, placer.Answered)
	now = now.Add(time.Second)
	Expect(hasOther()).To(BeTrue())
})
