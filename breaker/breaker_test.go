package breaker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/breaker"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const usualFirst = 50 * time.Millisecond

// newBreaker returns a breaker whose workers each ended ten requests in the usual time.
func newBreaker(names ...string) *breaker.Breaker {
	b := &breaker.Breaker{}
	b.Retain(names)
	for range 10 {
		for _, n := range names {
			b.RecordEnd(start, n, usualFirst, false)
		}
	}
	return b
}

func failThrice(b *breaker.Breaker, name string) {
	for range 3 {
		b.RecordEnd(start, name, 0, true)
	}
}

var _ = Describe("A breaker", func() {
	// An engine has crashed: each request sent to its worker fails and is retried elsewhere.
	It("ejects a failing worker, and readmits it after one good probe", func() {
		b := newBreaker("a", "b", "c")
		failThrice(b, "a")
		Expect(b.Allowed(start, "a")).To(BeFalse())
		Expect(b.Weights([]string{"a"})[0]).To(BeZero())
		later := start.Add(3 * time.Second)
		Expect(b.Allowed(later, "a")).To(BeTrue())
		b.RecordGrant("a")
		Expect(b.Allowed(later, "a")).To(BeFalse(), "a second probe")
		b.RecordEnd(later, "a", usualFirst, false)
		Expect(b.Allowed(later, "a")).To(BeTrue())
		Expect(b.Weights([]string{"a"})[0]).To(Equal(1.0))
	})

	It("waits twice as long after a bad probe", func() {
		b := newBreaker("a", "b", "c")
		failThrice(b, "a")
		b.RecordGrant("a")
		b.RecordEnd(start.Add(3*time.Second), "a", 0, true)
		Expect(b.Allowed(start.Add(8*time.Second), "a")).To(BeFalse())
		Expect(b.Allowed(start.Add(9*time.Second), "a")).To(BeTrue())
	})

	// A probe's caller disconnects before the first byte, so the probe has no result. If the
	// breaker kept waiting for one, the worker would never be probed again.
	It("probes again when a probe ended without a result", func() {
		b := newBreaker("a", "b", "c")
		failThrice(b, "a")
		b.RecordGrant("a")
		b.RecordEnd(start.Add(3*time.Second), "a", 0, false)
		Expect(b.Allowed(start.Add(3*time.Second), "a")).To(BeTrue())
	})

	// The network between this host and all workers is bad. Ejecting all workers would turn
	// slow answers into none.
	It("never ejects more than a third, nor the only worker", func() {
		b := newBreaker("a", "b", "c", "d", "e", "f")
		for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
			failThrice(b, n)
		}
		Expect(b.Ejected()).To(HaveLen(2))
		alone := newBreaker("a")
		failThrice(alone, "a")
		Expect(alone.Allowed(start, "a")).To(BeTrue())
	})

	// A worker runs at a third of its speed but reports itself healthy. Its places are still
	// useful when all others are taken.
	It("weights a slow worker by its speed, and ejects a stalled one", func() {
		b := newBreaker("a", "b", "c")
		for range 30 {
			b.RecordEnd(start, "a", 3*usualFirst, false)
		}
		Expect(b.Weights([]string{"a"})[0]).To(BeNumerically("~", 1.0/3, 0.02))
		Expect(b.Allowed(start, "a")).To(BeTrue())
		for range 30 {
			b.RecordEnd(start, "a", 20*usualFirst, false)
		}
		Expect(b.Allowed(start, "a")).To(BeFalse())
	})
})
