package breaker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/breaker"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const usual = 50 * time.Millisecond

// used is a breaker whose workers each ended ten requests in the usual time.
func used(names ...string) *breaker.Breaker {
	b := &breaker.Breaker{}
	b.Retain(names)
	for range 10 {
		for _, n := range names {
			b.RecordEnd(begin, n, usual, false)
		}
	}
	return b
}

func fail(b *breaker.Breaker, name string) {
	for range 3 {
		b.RecordEnd(begin, name, 0, true)
	}
}

var _ = Describe("A breaker", func() {
	// An engine crashed. Each request that still goes there fails, and is tried
	// again elsewhere.
	It("takes a failing worker out, and back after one good probe", func() {
		b := used("a", "b", "c")
		fail(b, "a")
		Expect(b.Allowed(begin, "a")).To(BeFalse())
		Expect(b.Weights([]string{"a"})[0]).To(BeZero())
		later := begin.Add(3 * time.Second)
		Expect(b.Allowed(later, "a")).To(BeTrue())
		b.RecordGrant("a")
		Expect(b.Allowed(later, "a")).To(BeFalse(), "a second probe")
		b.RecordEnd(later, "a", usual, false)
		Expect(b.Allowed(later, "a")).To(BeTrue())
		Expect(b.Weights([]string{"a"})[0]).To(Equal(1.0))
	})

	It("waits twice as long after a bad probe", func() {
		b := used("a", "b", "c")
		fail(b, "a")
		b.RecordGrant("a")
		b.RecordEnd(begin.Add(3*time.Second), "a", 0, true)
		Expect(b.Allowed(begin.Add(8*time.Second), "a")).To(BeFalse())
		Expect(b.Allowed(begin.Add(9*time.Second), "a")).To(BeTrue())
	})

	// A probe's caller goes away before the first byte. It showed nothing; were
	// the worker to wait for it, no other probe would ever come.
	It("probes again when a probe ended without a result", func() {
		b := used("a", "b", "c")
		fail(b, "a")
		b.RecordGrant("a")
		b.RecordEnd(begin.Add(3*time.Second), "a", 0, false)
		Expect(b.Allowed(begin.Add(3*time.Second), "a")).To(BeTrue())
	})

	// The network between this host and all workers is bad. Taking them all out
	// would turn slow answers into none.
	It("never takes out more than a third, and none that is alone", func() {
		b := used("a", "b", "c", "d", "e", "f")
		for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
			fail(b, n)
		}
		Expect(b.Ejected()).To(HaveLen(2))
		alone := used("a")
		fail(alone, "a")
		Expect(alone.Allowed(begin, "a")).To(BeTrue())
	})

	// A worker runs at a third of its speed and says it is fine. Its places are
	// still worth something when all others are full.
	It("weighs a slow worker by its speed, and takes out one that stalls", func() {
		b := used("a", "b", "c")
		for range 30 {
			b.RecordEnd(begin, "a", 3*usual, false)
		}
		Expect(b.Weights([]string{"a"})[0]).To(BeNumerically("~", 1.0/3, 0.02))
		Expect(b.Allowed(begin, "a")).To(BeTrue())
		for range 30 {
			b.RecordEnd(begin, "a", 20*usual, false)
		}
		Expect(b.Allowed(begin, "a")).To(BeFalse())
	})
})
