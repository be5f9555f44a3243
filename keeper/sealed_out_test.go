package keeper_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
)

// A keeper's host freezes, and its successor runs a call whose answer is lost. The host
// resumes before it learns that it was declared dead, and an entry host with an old roster
// sends it a repeat of the call. If the old keeper answered "not run", the caller would run
// the call a second time.
var _ = Describe("A keeper that was sealed out without noticing", func() {
	DescribeTable("does not reply not run for a call that its successor ran",
		func(s keeper.Settings, refuse func(w *world)) {
			w := newWorld(s)
			w.request(0, "warm", "warm", "seat", "e1")
			w.after(time.Second, func() { w.hosts["a"].frozenUntil = w.now.Add(freezeTime) })
			w.after(time.Second+leaseDuration, func() { w.owner = "b" })
			w.request(5*time.Second, "r1", "k1", "seat", "e1")
			w.after(11500*time.Millisecond, func() {
				w.staleOwner["e2"], w.staleOwner["e3"] = "a", "a"
				refuse(w)
			})
			w.request(12*time.Second, "r2", "k1", "seat", "e2")
			w.after(13*time.Second, func() { clear(w.staleOwner) })
			v := verdicts(w)
			Expect(v["r1"].Kind).To(Equal(keeper.KindRan))
			Expect(w.countRuns("k1")).To(Equal(1))
			Expect(v["r2"].Kind).To(BeElementOf(keeper.KindRan, keeper.KindUnknown))
		},
		Entry("place refused", keeper.Settings{}, func(w *world) { w.placesRefused = true }),
		Entry("maximum of operations in flight", keeper.Settings{MaxOperations: 1}, func(w *world) {
			w.faults = append(w.faults, &injection{step: granted, fault: silence})
			w.input(w.hosts["a"], keeper.CallReceived{Call: keeper.Call{ID: keeper.NewID("o", "s", "other"), Request: "warm", From: "e1", Deadline: w.now.Add(time.Minute)}})
		}),
		Entry("store down", keeper.Settings{}, func(w *world) { w.store.downUntil = w.now.Add(time.Second) }),
		Entry("store known to be down", keeper.Settings{}, func(w *world) {
			w.store.downUntil = w.now.Add(time.Second)
			w.request(100*time.Millisecond, "first", "k9", "seat", "e3")
		}),
	)

	// The host learns that it was declared dead. The log in memory is outdated then, even if
	// the store is down and can't show it.
	It("discards its log when its host rejoins", func() {
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

// An overloaded service refuses a thousand calls in one second. Each gets a certain "not
// run", and they share the reads of the head that confirm it.
var _ = It("bounds the reads of the store for refused calls", func() {
	w := newWorld(keeper.Settings{})
	w.placesRefused = true
	for i := range 1000 {
		w.request(time.Duration(i)*time.Millisecond, fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", i), "seat", "e1")
	}
	for id, v := range verdicts(w) {
		Expect(v.Kind).To(Equal(keeper.KindNotRun), id)
		Expect(w.requests[id].verdictAt.Sub(w.requests[id].began)).To(BeNumerically("<", 200*time.Millisecond))
	}
	Expect(w.store.reads).To(BeNumerically("<=", 1+24+13))
	AddReportEntry("reads", w.store.reads)
})
