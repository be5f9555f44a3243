package keeper_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/prover"
)

// verdicts runs a simulation to its end and returns the verdict on each request.
func verdicts(w *world) map[string]keeper.Verdict {
	GinkgoHelper()
	runAndCheck(w)
	out := map[string]keeper.Verdict{}
	for _, q := range w.order {
		out[q.id] = *q.verdict
	}
	return out
}

// datedKey returns a key that carries a time of the simulation.
func datedKey(at time.Time) string {
	x := fmt.Sprintf("%012x", at.UnixMilli())
	return x[:8] + "-" + x[8:] + "-7000-8000-000000000000"
}

var _ = Describe("Keeper", func() {
	// The store is down when calls arrive. They must be refused immediately, not at their
	// deadlines, and the same key must run after the outage. The keeper can't know whether
	// another one has sealed its log, so the verdict must not be "not run".
	It("refuses immediately in an outage, and the key runs after it", func() {
		w := newWorld(keeper.Settings{})
		w.request(0, "r1", "k1", "seat", "e1")
		w.after(time.Second, func() { w.store.downUntil = w.now.Add(5 * time.Second) })
		w.request(2*time.Second, "r2", "k2", "seat", "e1")
		w.request(3*time.Second, "r3", "k2", "seat", "e1")
		w.request(3*time.Second, "r4", "k1", "seat", "e1")
		w.request(8*time.Second, "r5", "k2", "seat", "e1")
		v := verdicts(w)
		Expect(v["r2"].Reason).To(Equal(keeper.ReasonStore))
		Expect(w.requests["r2"].verdictAt.Sub(w.requests["r2"].began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(w.requests["r3"].verdictAt.Sub(w.requests["r3"].began)).To(BeNumerically("<", 10*time.Millisecond))
		for _, r := range []string{"r2", "r3"} {
			Expect(v[r].Kind).To(Equal(keeper.KindUnknown))
			Expect(v[r].RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(v["r4"].Kind).To(Equal(keeper.KindRan), "a repeated key needs no store")
		Expect(v["r5"].Kind).To(Equal(keeper.KindRan))
	})

	// A partition moves, its new keeper loads the log before any call arrives, and then the
	// store goes down. A repeat of a call that ran under the previous keeper still gets its
	// answer.
	It("loads its log before any call arrives", func() {
		w := newWorld(keeper.Settings{})
		w.request(0, "r1", "k1", "seat", "e1")
		w.after(time.Second, func() { w.handOver() })
		w.after(2*time.Second, func() { w.input(w.hosts["b"], keeper.LoadRequested{}) })
		w.after(3*time.Second, func() { w.store.downUntil = w.now.Add(5 * time.Second) })
		w.request(4*time.Second, "r2", "k1", "seat", "e1")
		w.request(4*time.Second, "r3", "k2", "seat", "e1")
		v := verdicts(w)
		Expect(v["r2"].Kind).To(Equal(keeper.KindRan))
		Expect(v["r3"]).To(SatisfyAll(HaveField("Kind", keeper.KindUnknown), HaveField("Reason", keeper.ReasonStore)))
	})

	// A call has been sent when its keeper's host fails, and then the store goes down. The
	// call is repeated with the same key. The next keeper can't read the log: on "not run",
	// the caller would run the call twice.
	It("does not reply not run before it has loaded its log", func() {
		w := newWorld(keeper.Settings{}, &injection{step: sent, fault: kill, afterEffect: true})
		w.request(0, "r1", "k1", "seat", "e1")
		w.after(2*time.Second, func() { w.store.downUntil = w.now.Add(8 * time.Second) })
		w.request(5*time.Second, "r2", "k1", "seat", "e2")
		w.request(6*time.Second, "r3", "k1", "seat", "e2")
		w.request(12*time.Second, "r4", "k1", "seat", "e2")
		v := verdicts(w)
		Expect(w.runs).To(HaveLen(1))
		Expect(v["r2"]).To(SatisfyAll(HaveField("Kind", keeper.KindUnknown), HaveField("Reason", keeper.ReasonStore)))
		Expect(v["r3"].Kind).To(Equal(keeper.KindUnknown))
		Expect(v["r4"].Kind).To(Equal(keeper.KindUnknown))
	})

	// The store writes the intent but its reply is lost, and it goes down right after. The
	// caller is asked to repeat the call. The keeper changes, and the call is repeated with
	// the same key: the voided intent must not prevent it from running.
	It("voids an intent that may be recorded, so that the key can run", func() {
		w := newWorld(keeper.Settings{}, &injection{step: intent, fault: lostReply, nth: 1})
		w.request(0, "r1", "k1", "seat", "e1")
		w.request(time.Second, "r2", "k2", "seat", "e1")
		w.after(1009*time.Millisecond, func() { w.store.downUntil = w.now.Add(time.Second) })
		w.after(6*time.Second, func() { w.handOver() })
		w.request(8*time.Second, "r3", "k2", "seat", "e1")
		v := verdicts(w)
		Expect(v["r2"]).To(SatisfyAll(HaveField("Kind", keeper.KindUnknown), HaveField("Reason", keeper.ReasonStore)))
		Expect(v["r3"].Kind).To(Equal(keeper.KindRan))
	})

	// The answer has arrived, but the store is down or slow as the outcome is recorded. The
	// caller gets the answer after OutcomeGrace at the latest, and a repeat gets the same one.
	DescribeTable("sends an answer although its outcome is not recorded yet",
		func(f prover.Fault) {
			w := newWorld(keeper.Settings{}, &injection{step: outcome, fault: f})
			w.request(0, "r1", "k1", "seat", "e1")
			w.request(800*time.Millisecond, "r2", "k1", "seat", "e2")
			v := verdicts(w)
			Expect(v["r1"].Kind).To(Equal(keeper.KindRan))
			Expect(w.requests["r1"].verdictAt.Sub(w.requests["r1"].began)).To(BeNumerically("<", time.Second))
			Expect(v["r2"].Answer).To(Equal(v["r1"].Answer))
		},
		Entry("store down", storeDown),
		Entry("store slow", storeSlow),
	)

	// A call's frame arrives twice, the second time long after the caller was told that no
	// worker took it, and the entry host's first answer to the keeper's Ready is lost. The
	// call must not run before the entry host has confirmed it.
	It("does not run a request whose caller has been answered", func() {
		w := newWorld(keeper.Settings{MaxTries: 1}, &injection{step: asked, fault: reorder}, &injection{step: asked, fault: cutOne, nth: 1})
		w.refusals = 1
		w.request(0, "r1", "k1", "seat", "e1")
		Expect(verdicts(w)["r1"].Kind).To(Equal(keeper.KindNotRun))
		Expect(w.runs).To(BeEmpty())
	})

	// A draining worker refuses a call and reports that it did not run it. The keeper tries
	// other workers, up to MaxTries.
	DescribeTable("tries another worker only after a certain not run",
		func(refused int, want keeper.Kind) {
			w := newWorld(keeper.Settings{})
			w.refusals = refused
			w.request(0, "r1", "k1", "seat", "e1")
			w.request(time.Second, "r2", "k1", "seat", "e1")
			v := verdicts(w)
			Expect(v["r1"].Kind).To(Equal(want))
			Expect(v["r2"].Kind).To(Equal(keeper.KindRan))
		},
		Entry("one refuses", 1, keeper.KindRan),
		Entry("two refuse", 2, keeper.KindRan),
		Entry("all refuse", 8, keeper.KindNotRun),
	)

	// A key that carries a date is repeated long after its record has expired. It must not run
	// a second time: the verdict is that it may have run.
	It("never runs a dated key again whose record has expired", func() {
		w := newWorld(keeper.Settings{ArchiveTailBytes: 1, Retention: 2 * time.Second})
		old := datedKey(w.start.Add(-time.Second))
		w.request(0, "r1", old, "seat", "e1")
		for i := range 8 {
			w.request(time.Duration(i+1)*time.Second, fmt.Sprintf("x%d", i), datedKey(w.start.Add(time.Duration(i)*time.Second)), "seat", "e2")
		}
		w.request(10*time.Second, "r2", old, "seat", "e1")
		w.after(15*time.Second, func() { w.handOver() })
		w.request(16*time.Second, "r3", old, "seat", "e1")
		w.request(17*time.Second, "r4", datedKey(w.start.Add(16*time.Second)), "seat", "e1")
		v := verdicts(w)
		Expect(v["r1"].Kind).To(Equal(keeper.KindRan))
		Expect(v["r2"]).To(SatisfyAll(HaveField("Kind", keeper.KindUnknown), HaveField("Reason", keeper.ReasonExpired)))
		Expect(v["r3"]).To(SatisfyAll(HaveField("Kind", keeper.KindUnknown), HaveField("Reason", keeper.ReasonExpired)))
		Expect(v["r4"].Kind).To(Equal(keeper.KindRan))
		Expect(len(w.store.segments)).To(BeNumerically("<", 6), "expired segments are deleted")
	})

	// A call takes long, and meanwhile its record and those of many others are archived and
	// merged. The next keeper must know the answer of each, and the head must name few
	// segments.
	It("merges segments without losing records", func() {
		w := newWorld(keeper.Settings{ArchiveTailBytes: 1}, &injection{step: sent, fault: slow})
		w.request(0, "slow", "slow", "seat", "e1")
		for i := range 12 {
			w.request(time.Duration(100*(i+1))*time.Millisecond, fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", i), "seat", "e2")
		}
		w.after(4*time.Second, func() { w.handOver() })
		w.request(5*time.Second, "again", "slow", "seat", "e1")
		for i := range 12 {
			w.request(5*time.Second, fmt.Sprintf("s%d", i), fmt.Sprintf("k%d", i), "seat", "e2")
		}
		v := verdicts(w)
		Expect(v["again"].Answer).To(Equal(v["slow"].Answer))
		for i := range 12 {
			Expect(v[fmt.Sprintf("s%d", i)].Answer).To(Equal(v[fmt.Sprintf("r%d", i)].Answer))
		}
		Expect(v["again"].Answer).NotTo(BeNil())
		Expect(len(w.store.head.Segments)).To(BeNumerically("<", 16))
		Expect(w.store.head.Segments).To(ContainElement(HaveField("Level", BeNumerically(">", 0))))
	})

	// The write of the head that drops an expired record fails. Its key must still be known.
	It("forgets only records that the head has dropped", func() {
		w := newWorld(keeper.Settings{ArchiveTailBytes: 1, Retention: 2 * time.Second})
		old := datedKey(w.start)
		w.request(0, "r1", old, "seat", "e1")
		w.request(time.Second, "r2", "k2", "seat", "e1")
		w.after(5*time.Second, func() {
			w.faults = append(w.faults, &injection{step: intent, fault: cutOne})
		})
		w.request(6*time.Second, "r3", "k3", "seat", "e1")
		w.after(6008*time.Millisecond, func() { w.store.downUntil = w.now.Add(2 * time.Second) })
		w.request(6500*time.Millisecond, "r4", old, "seat", "e1")
		v := verdicts(w)
		Expect(v["r3"]).To(SatisfyAll(HaveField("Kind", keeper.KindUnknown), HaveField("Reason", keeper.ReasonStore)))
		Expect(v["r4"].Kind).To(Equal(keeper.KindRan))
	})

	// A caller sends more calls than the keeper may have in flight or in memory. The excess is
	// refused immediately, and memory does not grow.
	DescribeTable("bounds operations and records",
		func(s keeper.Settings, reason string, taken int) {
			w := newWorld(s)
			w.request(0, "first", "k", "seat", "e1")
			for i := range 8 {
				w.request(time.Second+time.Duration(i)*time.Millisecond, fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", i), "seat", "e1")
			}
			n := map[string]int{}
			for _, v := range verdicts(w) {
				n[v.Reason]++
			}
			Expect(n).To(Equal(map[string]int{"": taken, reason: 9 - taken}))
		},
		Entry("operations", keeper.Settings{MaxOperations: 3}, keeper.ReasonBusy, 4),
		Entry("records", keeper.Settings{MaxRecords: 3}, keeper.ReasonFull, 3),
	)

	// An answer has been dropped from memory, or was too large for the log and the keeper has
	// changed. A repeat gets the verdict that the call ran, and does not run again.
	DescribeTable("reports that a call ran whose answer is not kept",
		func(s keeper.Settings, moved bool, want keeper.Kind) {
			w := newWorld(s)
			w.request(0, "r1", "k1", "seat", "e1")
			w.request(time.Second, "r2", "k2", "seat", "e1")
			if moved {
				w.after(1500*time.Millisecond, func() { w.handOver() })
			}
			w.request(2*time.Second, "r3", "k1", "seat", "e1")
			v := verdicts(w)
			Expect(v["r1"].Kind).To(Equal(keeper.KindRan))
			Expect(v["r3"].Kind).To(Equal(want))
		},
		Entry("large, same keeper", keeper.Settings{MaxAnswerBytes: 1}, false, keeper.KindRan),
		Entry("large, next keeper", keeper.Settings{MaxAnswerBytes: 1}, true, keeper.KindGone),
		Entry("memory full", keeper.Settings{AnswerCacheBytes: 800}, false, keeper.KindGone),
		Entry("memory full, next keeper", keeper.Settings{AnswerCacheBytes: 800}, true, keeper.KindGone),
	)

	// A caller's clock is far ahead. The date in its key would raise the floor, below which
	// all callers' keys count as expired, so it must be refused.
	It("refuses a key from the future", func() {
		w := newWorld(keeper.Settings{})
		w.request(0, "r1", datedKey(w.start.Add(time.Hour)), "seat", "e1")
		Expect(verdicts(w)["r1"].Reason).To(Equal(keeper.ReasonFuture))
	})

	// A thousand calls arrive in one second. Their records share writes: a burst is written
	// without delay, and after that the rate of writes is bounded.
	It("bounds the store's writes", func() {
		w := newWorld(keeper.Settings{WritesPerSecond: 5, Burst: 5, MaxOperations: 2000, ArchiveTailBytes: 1 << 20})
		for i := range 1000 {
			w.request(time.Duration(i)*time.Millisecond, fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", i), "seat", "e1")
		}
		w.runFor(1500 * time.Millisecond)
		Expect(w.store.writes).To(BeNumerically("<=", 1+5+8))
		w.runFor(worldLength)
		Expect(w.checkHistory()).To(BeEmpty(), w.history)
	})
})

var _ = DescribeTable("KeyTimeOf", func(key string, want int64) {
	Expect(keeper.KeyTimeOf(key)).To(Equal(want))
},
	Entry("a UUID of version 7", "019a3f5e-8c00-7abc-8def-0123456789ab", int64(0x019a3f5e8c00)),
	Entry("a UUID of version 4", "019a3f5e-8c00-4abc-8def-0123456789ab", int64(0)),
	Entry("any text", "hold 17", int64(0)),
)

var _ = It("decodes stored heads and segments to equal values", func() {
	e := &keeper.Record{ID: keeper.NewID("o", "s", "k"), Hash: keeper.Hash([]byte("b")), At: 7, KeyTime: 5, State: keeper.Ran, Answer: &keeper.Answer{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("x")}}
	h := keeper.Head{Epoch: 3, Stamp: keeper.Stamp{Keeper: "a", Incarnation: 1, Write: 2}, Floor: 4, Segments: []keeper.Segment{{Epoch: 2, Sequence: 1, NewestAt: 6, NewestKeyTime: 5}}, Tail: []*keeper.Record{e, {State: keeper.Intended}}}
	value, err := h.Encode()
	Expect(err).NotTo(HaveOccurred())
	Expect(keeper.DecodeHead(value)).To(Equal(h))
	value, err = keeper.EncodeRecords(h.Tail)
	Expect(err).NotTo(HaveOccurred())
	Expect(keeper.DecodeRecords(value)).To(Equal(h.Tail))
	_, err = keeper.DecodeHead([]byte("x"))
	Expect(err).To(MatchError(keeper.ErrRecord))
})
