package keeper_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
)

// A keeper's host freezes. Its successor runs a hold, and the answer is lost on
// the way. The host comes back and has not heard that it was declared dead, nor has
// the entry that the passenger tries next. The old keeper refuses the repeat: "not
// run" would have the passenger book a second time.
var _ = Describe("A keeper that was sealed out and has not noticed", func() {
	DescribeTable("does not say not run for what its successor ran",
		func(s keeper.Settings, refuse func(w *world)) {
			w := newWorld(s)
			w.request(0, "warm", "warm", "seat", "e1")
			w.after(time.Second, func() { w.hosts["a"].thawed = w.now.Add(freezeTime) })
			w.after(time.Second+lease, func() { w.owner = "b" })
			w.request(5*time.Second, "r1", "k1", "seat", "e1")
			w.after(11500*time.Millisecond, func() {
				w.stale["e2"], w.stale["e3"] = "a", "a"
				refuse(w)
			})
			w.request(12*time.Second, "r2", "k1", "seat", "e2")
			w.after(13*time.Second, func() { clear(w.stale) })
			v := verdicts(w)
			Expect(v["r1"].Kind).To(Equal(keeper.KindRan))
			Expect(w.count("k1")).To(Equal(1))
			Expect(v["r2"].Kind).To(BeElementOf(keeper.KindRan, keeper.KindUnknown))
		},
		Entry("place refused", keeper.Settings{}, func(w *world) { w.full = true }),
		Entry("as many operations as it takes", keeper.Settings{MaxOperations: 1}, func(w *world) {
			w.faults = append(w.faults, &injection{step: granted, fault: silence})
			w.input(w.hosts["a"], keeper.CallReceived{Call: keeper.Call{ID: keeper.NewID("o", "s", "other"), Request: "warm", From: "e1", Deadline: w.now.Add(time.Minute)}})
		}),
		Entry("store down", keeper.Settings{}, func(w *world) { w.store.downUntil = w.now.Add(time.Second) }),
		Entry("store down, and known to be", keeper.Settings{}, func(w *world) {
			w.store.downUntil = w.now.Add(time.Second)
			w.request(100*time.Millisecond, "first", "k9", "seat", "e3")
		}),
	)

	// The host learns that it was declared dead. Whatever it knew is old, also where
	// the store is down and can't say so.
	It("forgets its log when its host rejoins", func() {
		w := newWorld(keeper.Settings{})
		w.request(0, "warm", "warm", "seat", "e1")
		w.after(time.Second, func() { w.input(w.hosts["a"], keeper.Rejoined{}) })
		w.after(1001*time.Millisecond, func() {
			Expect(w.hosts["a"].keeper.Summary()).To(SatisfyAll(HaveField("Ready", false), HaveField("Records", 0)))
		})
		w.request(2*time.Second, "again", "warm", "seat", "e2")
		v := verdicts(w)
		Expect(v["again"].Answer).To(Equal(v["warm"].Answer))
		Expect(w.store.head.Epoch).To(Equal(uint64(2)))
	})
})

// A service is overloaded and refuses a thousand holds in one second. Each is told
// for certain that it was not run, and they share reads of the head.
var _ = It("bounds the reads that refusals cost", func() {
	w := newWorld(keeper.Settings{})
	w.full = true
	for i := range 1000 {
		w.request(time.Duration(i)*time.Millisecond, fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", i), "seat", "e1")
	}
	for id, v := range verdicts(w) {
		Expect(v.Kind).To(Equal(keeper.KindNotRun), id)
		Expect(w.requests[id].toldAt.Sub(w.requests[id].began)).To(BeNumerically("<", 200*time.Millisecond))
	}
	Expect(w.store.reads).To(BeNumerically("<=", 1+24+13))
	AddReportEntry("reads", w.store.reads)
})
